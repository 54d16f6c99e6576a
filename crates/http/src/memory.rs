//! Budget of the memory in which a process holds bodies for others. Connections take theirs out of it
//! too, so that bodies leave room for them.

use std::sync::{
    Arc,
    Mutex,
    MutexGuard, //
};

use tokio::sync::Notify;

/// Size up to which a body is small, in bytes.
const SMALL_BODY_BYTES: usize = 64 * 1_024;

/// Memory that an open connection takes, with its buffers and its task, in bytes.
const CONNECTION_BYTES: usize = 12 * 1_024;

/// The share of the budget that only small bodies can take is one part in this many.
const SMALL_SHARE_DIVISOR: usize = 16;

/// Budget of the bytes that a process holds. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max_bytes: usize,
    /// Largest number of bytes that large bodies can take together.
    large_max_bytes: usize,
    held: Mutex<HeldBytes>,
    freed: Notify,
}

#[derive(Clone, Copy, Debug, Default)]
struct HeldBytes {
    connection_bytes: usize,
    small_bytes: usize,
    large_bytes: usize,
}

impl HeldBytes {
    /// Returns the count that a body of `len` bytes belongs to.
    fn of_size(&mut self, len: usize) -> &mut usize {
        if len <= SMALL_BODY_BYTES {
            &mut self.small_bytes
        } else {
            &mut self.large_bytes
        }
    }

    fn total_bytes(&self) -> usize {
        self.connection_bytes + self.small_bytes + self.large_bytes
    }
}

impl MemoryBudget {
    /// Returns a budget of `max_bytes` bytes.
    pub fn new(max_bytes: usize) -> Self {
        Self(Arc::new(Shared {
            max_bytes,
            large_max_bytes: max_bytes - max_bytes / SMALL_SHARE_DIVISOR,
            held: Mutex::default(),
            freed: Notify::new(),
        }))
    }

    /// Returns a budget without a limit.
    pub fn unlimited() -> Self {
        Self::new(usize::MAX)
    }

    /// Returns the number of bytes that are held now.
    pub fn held_bytes(&self) -> usize {
        self.lock().total_bytes()
    }

    /// Returns whether a body of `len` bytes fits while nothing else is held.
    fn can_hold(&self, len: usize) -> bool {
        self.fits(HeldBytes::default(), len)
    }

    /// Returns a reservation of no bytes, which can grow.
    pub(crate) fn begin(&self) -> Reservation {
        Reservation {
            budget: self.clone(),
            len: 0,
        }
    }

    /// Counts an open connection, whether or not its memory is free.
    pub(crate) fn begin_connection(&self) -> ConnectionMemory {
        self.lock().connection_bytes += CONNECTION_BYTES;
        ConnectionMemory {
            budget: self.clone(),
        }
    }

    /// Reserves `len` bytes as soon as they are free; `None` if they never can be.
    pub(crate) async fn reserve(&self, len: usize) -> Option<Reservation> {
        if !self.can_hold(len) {
            return None;
        }
        let mut reservation = self.begin();
        loop {
            let mut freed = std::pin::pin!(self.0.freed.notified());
            freed.as_mut().enable();
            if reservation.try_reserve_up_to(len) {
                return Some(reservation);
            }
            freed.await;
        }
    }

    fn fits(&self, mut held: HeldBytes, len: usize) -> bool {
        let Some(total_bytes) = held.total_bytes().checked_add(len) else {
            return false;
        };
        *held.of_size(len) += len;
        // Connections must not take the share of small bodies, so they count as large ones do.
        let large_bytes = held.connection_bytes + held.large_bytes;
        let leaves_small_share = len <= SMALL_BODY_BYTES || large_bytes <= self.0.large_max_bytes;
        total_bytes <= self.0.max_bytes && leaves_small_share
    }

    fn lock(&self) -> MutexGuard<'_, HeldBytes> {
        self.0.held.lock().expect("no holder panics")
    }
}

/// Memory of an open connection, which counts until this is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionMemory {
    budget: MemoryBudget,
}

impl Drop for ConnectionMemory {
    fn drop(&mut self) {
        self.budget.lock().connection_bytes -= CONNECTION_BYTES;
        self.budget.0.freed.notify_waiters();
    }
}

/// Bytes of a budget that are taken until the reservation is dropped.
#[derive(Debug)]
pub(crate) struct Reservation {
    budget: MemoryBudget,
    len: usize,
}

impl Reservation {
    /// Grows to `len` bytes if they are free, and returns whether at least so many are reserved.
    pub(crate) fn try_reserve_up_to(&mut self, len: usize) -> bool {
        if len <= self.len {
            return true;
        }
        let mut held = self.budget.lock();
        let mut others = *held;
        *others.of_size(self.len) -= self.len;
        if !self.budget.fits(others, len) {
            return false;
        }
        *others.of_size(len) += len;
        *held = others;
        self.len = len;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        *self.budget.lock().of_size(self.len) -= self.len;
        self.budget.0.freed.notify_waiters();
    }
}
