//! Buffers of bodies that are being received.

use crate::budget::{Class, Lease};
use crate::content::Content;
use crate::shares::SMALL_BODY_BYTES;
use bytes::{Bytes, BytesMut};

/// Size of a segment in bytes. Segments of one size can be reused for each other when they were freed.
pub const SEGMENT_BYTES: usize = 16 << 10;
/// Size of the first allocation for a body of unknown length, in bytes.
const MIN_SEGMENT_BYTES: usize = 1 << 10;
/// Bytes that the bookkeeping of a segment takes.
const SEGMENT_OVERHEAD_BYTES: usize = 64;

/// A body that is being received. Received bytes are copied into segments, so that what the body takes does
/// not depend on how it was cut into chunks.
#[derive(Debug)]
pub struct Buffer {
    segments: Vec<Bytes>,
    tail: BytesMut,
    /// Bytes in all segments.
    len: usize,
    /// Declared length of the body, if it is known.
    expected: Option<usize>,
    /// The allocated memory, and `credit`.
    lease: Lease,
    /// Bytes of the lease that are not allocated yet.
    credit: usize,
}

impl Buffer {
    /// Creates an empty buffer for a body with a declared length. What `lease` holds already is used first.
    pub fn new(lease: Lease, expected: Option<usize>) -> Self {
        Self {
            credit: lease.bytes(),
            segments: Vec::new(),
            tail: BytesMut::new(),
            len: 0,
            expected,
            lease,
        }
    }

    /// Returns the memory that a body of known length takes, in bytes.
    pub fn cost_of(len: usize) -> usize {
        len.saturating_add(
            len.div_ceil(SEGMENT_BYTES)
                .saturating_mul(SEGMENT_OVERHEAD_BYTES),
        )
    }

    /// Returns the number of bytes received.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether nothing was received.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the memory that it takes, in bytes.
    pub fn cost(&self) -> usize {
        self.lease.bytes()
    }

    /// Returns the memory that has to be leased before the next bytes are pushed, in bytes; 0 while they
    /// fit into what is allocated.
    pub fn needed(&self) -> usize {
        match self.tail.capacity() - self.tail.len() {
            0 => self.next_allocation() + SEGMENT_OVERHEAD_BYTES,
            _ => 0,
        }
    }

    /// Leases and allocates memory for the next bytes. Returns false, and allocates nothing, if the budget
    /// has no room for it.
    pub fn try_reserve(&mut self, class: Class) -> bool {
        let needed = self.needed();
        if needed == 0 {
            return true;
        }
        let lacking = needed.saturating_sub(self.credit);
        if lacking > 0 && !self.lease.try_grow(lacking, class) {
            return false;
        }
        self.credit = (self.credit + lacking) - needed;
        self.allocate();
        true
    }

    /// Leases further memory for what is made of the body. Returns false if the budget has no room for it.
    pub fn try_lease(&mut self, bytes: usize, class: Class) -> bool {
        self.lease.try_grow(bytes, class)
    }

    /// Returns the part of the budget from which the next bytes are taken: that of a body of the usual size,
    /// until it exceeds that size.
    pub fn class(&self) -> Class {
        match self.cost() + self.needed() <= SMALL_BODY_BYTES {
            true => Class::Small,
            false => Class::Large,
        }
    }

    /// Moves all bytes of `chunk` into the buffer. Returns false if the budget has no room for what is left
    /// of it.
    pub fn store(&mut self, chunk: &mut Bytes) -> bool {
        while !chunk.is_empty() {
            if !self.try_reserve(self.class()) {
                return false;
            }
            self.push(chunk);
        }
        true
    }

    /// Copies as many bytes from the front of `chunk` as fit into what is allocated.
    pub fn push(&mut self, chunk: &mut Bytes) {
        let room = self.tail.capacity() - self.tail.len();
        let taken = chunk.split_to(room.min(chunk.len()));
        self.tail.extend_from_slice(&taken);
        self.len += taken.len();
    }

    /// Returns what was received.
    pub fn finish(mut self) -> Content {
        self.close_segment();
        self.lease.shrink_to(self.lease.bytes() - self.credit);
        Content::new(self.segments, self.len, self.lease)
    }

    /// Returns the size of the next allocation. A body of unknown length begins with a short segment, which
    /// grows; one of known length takes what it needs.
    fn next_allocation(&self) -> usize {
        let rest = self.expected.map(|e| e.saturating_sub(self.len).max(1));
        let size = match (rest, self.len) {
            (Some(rest), _) => rest,
            (None, 0) => MIN_SEGMENT_BYTES,
            (None, len) => len,
        };
        size.min(SEGMENT_BYTES)
    }

    fn allocate(&mut self) {
        let size = self.next_allocation();
        self.close_segment();
        self.tail = BytesMut::with_capacity(size);
    }

    fn close_segment(&mut self) {
        let segment = std::mem::take(&mut self.tail);
        if !segment.is_empty() {
            self.segments.push(segment.freeze());
        }
    }
}
