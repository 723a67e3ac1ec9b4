//! Gauges of the routers on the metrics page, summed over the workers.

use entry::core::Reports;
use opentelemetry::metrics::Meter;

/// Registers one gauge for each row of the router report, named `wigeonshelf_route_` and the row's
/// name.
pub fn register(meter: &Meter, reports: Vec<Reports>) {
    let names = route::report::Report::default().rows();
    for (row, (name, _)) in names.into_iter().enumerate() {
        let reports = reports.clone();
        let builder = meter.u64_observable_gauge(format!("wigeonshelf_route_{name}"));
        builder
            .with_callback(move |observer| observer.observe(total(&reports, row), &[]))
            .build();
    }
}

fn total(reports: &[Reports], row: usize) -> u64 {
    let values = reports.iter().map(|r| r.load().rows()[row].1);
    values.sum()
}
