//! Buffer for bodies of requests and responses, covered by the budget of memory.

use bytes::Bytes;
use hyper::body::{Body, Incoming};

use crate::memory::{BudgetExhausted, LARGE_CONTENT_BYTES, Reservation};

/// Bytes by which the buffer of a body grows at least.
const MIN_GROWTH_BYTES: usize = 16 * 1024;

/// Error of adding to a body: it is longer than its limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("longer than {limit} bytes")]
pub(crate) struct BodyTooLong {
    /// Limit in bytes.
    pub limit: usize,
}

/// Bytes of a body in one piece, so that small pieces occupy no more than their bytes.
pub(crate) struct BodyBuffer<'a> {
    bytes: Vec<u8>,
    declared: Option<usize>,
    limit: usize,
    reservation: &'a mut Reservation,
}

/// Returns the declared length of a body; `None` if it comes in chunks.
fn declared_length(body: &Incoming) -> Option<usize> {
    let length = body.size_hint().exact()?;
    Some(usize::try_from(length).unwrap_or(usize::MAX))
}

impl<'a> BodyBuffer<'a> {
    /// Creates a buffer for a body of at most `limit` bytes.
    ///
    /// # Errors
    /// Fails if the declared length is over the limit.
    pub fn new(
        body: &Incoming,
        limit: usize,
        reservation: &'a mut Reservation,
    ) -> Result<Self, BodyTooLong> {
        let declared = declared_length(body);
        if declared.is_some_and(|length| length > limit) {
            return Err(BodyTooLong { limit });
        }
        Ok(Self {
            bytes: Vec::new(),
            declared,
            limit,
            reservation,
        })
    }

    /// Returns the number of bytes so far.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Checks that the declared length could be reserved now.
    ///
    /// # Errors
    /// Fails if the budget is exhausted.
    pub fn check_available(&mut self) -> Result<(), BudgetExhausted> {
        let reserved = self.reservation.bytes();
        self.reservation.grow(self.declared.unwrap_or(0))?;
        self.reservation.shrink_to(reserved);
        Ok(())
    }

    /// Waits until the declared length is reserved, so that a body that has started can be completed.
    pub async fn reserve_declared(&mut self) {
        if let Some(declared) = self.declared {
            self.reservation.grow_when_available(declared).await;
            self.bytes.reserve_exact(declared);
        }
    }

    /// Returns the additional capacity that the buffer needs for `count` more bytes.
    ///
    /// # Errors
    /// Fails if the body gets longer than its limit.
    pub fn growth_for(&self, count: usize) -> Result<usize, BodyTooLong> {
        let length = self.bytes.len() + count;
        if length > self.limit {
            return Err(BodyTooLong { limit: self.limit });
        }
        let capacity = self.bytes.capacity();
        if length <= capacity {
            return Ok(0);
        }
        let longest = self.declared.unwrap_or(self.limit).max(length);
        let wanted = (capacity + (capacity / 2).max(MIN_GROWTH_BYTES)).clamp(length, longest);
        Ok(wanted - capacity)
    }

    /// Adds bytes, after reserving the `growth` that [`BodyBuffer::growth_for`] returned.
    ///
    /// # Errors
    /// Fails if the budget is exhausted.
    pub fn push(&mut self, data: &[u8], growth: usize) -> Result<(), BudgetExhausted> {
        self.reservation.grow(growth)?;
        self.extend(data, growth);
        Ok(())
    }

    /// As [`BodyBuffer::push`], but waits until the bytes are available.
    pub async fn push_when_available(&mut self, data: &[u8], growth: usize) {
        if growth > 0 {
            self.reservation.grow_when_available(growth).await;
        }
        if self.bytes.len() >= LARGE_CONTENT_BYTES {
            self.reservation.budget().take_turn().await;
        }
        self.extend(data, growth);
    }

    fn extend(&mut self, data: &[u8], growth: usize) {
        let wanted = self.bytes.capacity() + growth;
        self.bytes.reserve_exact(wanted - self.bytes.len());
        self.bytes.extend_from_slice(data);
    }

    /// Returns the body, and gives back what it does not need.
    pub fn into_bytes(self) -> Bytes {
        let unused = self.bytes.capacity() - self.bytes.len();
        let used = self.reservation.bytes().saturating_sub(unused);
        self.reservation.shrink_to(used);
        Bytes::from(self.bytes)
    }
}
