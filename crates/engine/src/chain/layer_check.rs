//! Account of the layers that ran for a step.

use crate::frame::Place;

/// Checks, apart from the driver's own plan, that each step's ranges join from layer 0 to the last.
#[derive(Debug)]
pub(super) struct LayerCheck {
    request: u128,
    attempt: u32,
    layers: u16,
    step: u32,
    next: u16,
}

impl LayerCheck {
    /// The account of an attempt over a model of `layers` layers, before step 1.
    pub(super) fn new(request: u128, attempt: u32, layers: u16) -> Self {
        Self {
            request,
            attempt,
            layers,
            step: 1,
            next: 0,
        }
    }

    /// Enters that a stage ran its range; false if it isn't the one that follows.
    pub(super) fn record(&mut self, place: &Place) -> bool {
        let is_next = place.request == self.request
            && place.attempt == self.attempt
            && place.step == self.step
            && place.from == self.next
            && place.to > place.from
            && place.to <= self.layers;
        if is_next {
            self.next = place.to;
        }
        is_next
    }

    /// Closes the step; false if a layer is missing.
    pub(super) fn finish_step(&mut self) -> bool {
        let is_complete = self.next == self.layers;
        self.next = 0;
        self.step += 1;
        is_complete
    }
}
