//! Verification that every layer runs once per step.

use crate::frame::Place;

/// Verifies that the layer ranges that ran in a step are contiguous from layer 0 to the last layer.
/// This check is independent of the driver's own bookkeeping.
#[derive(Debug)]
pub(super) struct LayerCheck {
    request: u128,
    attempt: u32,
    layers: u16,
    step: u32,
    /// Next layer to run in this step.
    next: u16,
}

impl LayerCheck {
    /// Creates the check of an attempt, before step 1, for a model with `layers` layers.
    pub(super) fn new(request: u128, attempt: u32, layers: u16) -> Self {
        Self {
            request,
            attempt,
            layers,
            step: 1,
            next: 0,
        }
    }

    /// Records that a stage ran its range. Returns false if this is not the next expected range.
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

    /// Ends the step. Returns false if a layer has not run.
    pub(super) fn finish_step(&mut self) -> bool {
        let is_complete = self.next == self.layers;
        self.next = 0;
        self.step += 1;
        is_complete
    }
}
