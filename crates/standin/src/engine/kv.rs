//! The computation of a stage: a running hash per layer stands for its key-value cache.

use super::hash::mix;
use bytes::{Bytes, BytesMut};

/// A deliberate error in the computation, which the oracle must catch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ComputeFault {
    /// The stage's first layer is left out.
    Skip,
    /// The stage's first layer runs twice.
    Double,
    /// The stage's layers run in the reverse order.
    Reorder,
    /// The stage's input is the one that came before, often of another request.
    SwapInput,
}

/// Bytes that carry an activation; the rest of its size is padding.
pub(super) const ACTIVATION_WORD_BYTES: usize = 8;

/// Key-value state of one request at one stage.
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

    /// How it computes wrongly, if it does.
    pub(super) fn fault(&self) -> Option<ComputeFault> {
        self.fault
    }

    /// Position that comes next.
    pub(super) fn position(&self) -> u64 {
        self.position
    }

    /// Runs one position through the stage's layers; `on_layer` is told each layer.
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

    /// The draw that picks the next token.
    pub(super) fn draw(&self, activation: u64, seed: u64) -> u64 {
        mix(&[activation, seed, self.position])
    }
}

fn order(layers: usize, fault: Option<ComputeFault>) -> Vec<usize> {
    match fault {
        None | Some(ComputeFault::SwapInput) => (0..layers).collect(),
        Some(ComputeFault::Skip) => (1..layers).collect(),
        Some(ComputeFault::Double) => std::iter::once(0).chain(0..layers).collect(),
        Some(ComputeFault::Reorder) => (0..layers).rev().collect(),
    }
}

/// Embeddings of a prompt and the tokens after it, by position.
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

/// Embedding of a made token.
pub(super) fn token(id: u32) -> u64 {
    mix(&[2, id.into()])
}

/// Activations as bytes, each padded to `size`.
pub(super) fn pack(activations: &[u64], size: usize) -> Bytes {
    let mut bytes = BytesMut::zeroed(activations.len() * size);
    for (slot, activation) in bytes.chunks_exact_mut(size).zip(activations) {
        slot[..ACTIVATION_WORD_BYTES].copy_from_slice(&activation.to_le_bytes());
    }
    bytes.freeze()
}

/// Activations from bytes, if the length fits.
pub(super) fn unpack(bytes: &[u8], size: usize) -> Option<Vec<u64>> {
    if bytes.is_empty() || !bytes.len().is_multiple_of(size) {
        return None;
    }
    let word = |slot: &[u8]| slot.first_chunk().map(|word| u64::from_le_bytes(*word));
    bytes.chunks_exact(size).map(word).collect()
}
