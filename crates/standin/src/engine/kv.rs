//! The computation of a stage, with a running hash per layer in place of its key-value cache.

use super::hash::mix;
use bytes::{Bytes, BytesMut};

/// A deliberate error in the computation, which a comparison with the oracle must detect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComputeFault {
    /// Skips the stage's first layer.
    Skip,
    /// Runs the stage's first layer twice.
    Double,
    /// Runs the stage's layers in reverse order.
    Reorder,
    /// Replaces each input by the previous one on the engine, often of another request.
    SwapInput,
}

/// Bytes of an encoded activation that carry its value; the rest is padding.
pub(super) const ACTIVATION_WORD_BYTES: usize = 8;

/// State of one request at one stage, in place of its key-value cache.
#[derive(Debug)]
pub(super) struct Kv {
    from: u16,
    salt: u64,
    caches: Vec<u64>,
    position: u64,
    fault: Option<ComputeFault>,
}

impl Kv {
    pub(super) fn new(from: u16, to: u16, salt: u64, fault: Option<ComputeFault>) -> Self {
        Self {
            from,
            salt,
            caches: vec![0; (to - from).into()],
            position: 0,
            fault,
        }
    }

    /// Error in this request's computation, if any.
    pub(super) fn fault(&self) -> Option<ComputeFault> {
        self.fault
    }

    /// Next position to compute.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Computes one position through the stage's layers and returns its output activation. Calls
    /// `on_layer` for each layer that runs.
    pub(super) fn run(&mut self, activation: u64, mut on_layer: impl FnMut(u16)) -> u64 {
        let order = order(self.caches.len(), self.fault);
        let mut activation = activation;
        for index in order {
            let layer = self.from + index as u16;
            let cache = &mut self.caches[index];
            *cache = mix(&[*cache, activation, layer.into(), self.position, self.salt]);
            activation = mix(&[activation, *cache, layer.into()]);
            on_layer(layer);
        }
        self.position += 1;
        activation
    }

    /// Returns the draw that selects the next token.
    pub(super) fn draw(&self, activation: u64, seed: u64) -> u64 {
        mix(&[activation, seed, self.position])
    }
}

/// Returns the order in which the layers run, as indices.
fn order(layers: usize, fault: Option<ComputeFault>) -> Vec<usize> {
    match fault {
        None | Some(ComputeFault::SwapInput) => (0..layers).collect(),
        Some(ComputeFault::Skip) => (1..layers).collect(),
        Some(ComputeFault::Double) => std::iter::once(0).chain(0..layers).collect(),
        Some(ComputeFault::Reorder) => (0..layers).rev().collect(),
    }
}

/// Returns the embeddings of a start marker, a prompt and the tokens generated so far, by position.
pub(super) fn embed(prompt: &[u8], tokens: &[u32]) -> Vec<u64> {
    let start = std::iter::once(mix(&[0, 0]));
    let words = prompt.chunks(4).map(|chunk| {
        let mut bytes = [0; 4];
        bytes[..chunk.len()].copy_from_slice(chunk);
        mix(&[1, u32::from_le_bytes(bytes).into()])
    });
    start
        .chain(words)
        .chain(tokens.iter().map(|id| token(*id)))
        .collect()
}

/// Returns the embedding of a generated token.
pub(super) fn token(id: u32) -> u64 {
    mix(&[2, id.into()])
}

/// Encodes activations, each padded to `size` bytes.
pub(super) fn pack(activations: &[u64], size: usize) -> Bytes {
    let mut bytes = BytesMut::zeroed(activations.len() * size);
    for (slot, activation) in bytes.chunks_exact_mut(size).zip(activations) {
        slot[..ACTIVATION_WORD_BYTES].copy_from_slice(&activation.to_le_bytes());
    }
    bytes.freeze()
}

/// Decodes activations of `size` bytes each; `None` if the length is zero or not a multiple of it.
pub(super) fn unpack(bytes: &[u8], size: usize) -> Option<Vec<u64>> {
    if bytes.is_empty() || !bytes.len().is_multiple_of(size) {
        return None;
    }
    let word = |slot: &[u8]| slot.first_chunk().map(|word| u64::from_le_bytes(*word));
    bytes.chunks_exact(size).map(word).collect()
}
