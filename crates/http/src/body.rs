//! Bodies in memory that counts against a budget.

use hyper::body::Bytes;
use memmap2::MmapMut;

use crate::memory::{
    MemoryBudget,
    Reservation, //
};

/// Size from which on a body gets a memory mapping of its own, in bytes. The allocator would keep the
/// memory of large bodies after they are freed.
const MAPPED_MIN_BYTES: usize = 256 * 1_024;

/// Why a body can't be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BodyError {
    /// It is larger than the limit of a body.
    TooLarge,
    /// The memory is not free.
    NoMemory,
}

enum Storage {
    Heap(Vec<u8>),
    Mapped { map: MmapMut, len: usize },
}

impl Storage {
    /// Allocates room for `capacity` bytes. Pages of a mapping take memory only once they are written.
    fn with_capacity(capacity: usize) -> Result<Self, BodyError> {
        if capacity < MAPPED_MIN_BYTES {
            return Ok(Storage::Heap(Vec::with_capacity(capacity)));
        }
        match MmapMut::map_anon(capacity) {
            Ok(map) => Ok(Storage::Mapped { map, len: 0 }),
            Err(error) => {
                log::warn!("could not allocate memory for a body: {error}");
                Err(BodyError::NoMemory)
            }
        }
    }

    fn push(&mut self, data: &[u8]) {
        match self {
            Storage::Heap(bytes) => bytes.extend_from_slice(data),
            Storage::Mapped { map, len } => {
                map[*len..*len + data.len()].copy_from_slice(data);
                *len += data.len();
            }
        }
    }

    fn bytes(&self) -> &[u8] {
        match self {
            Storage::Heap(bytes) => bytes,
            Storage::Mapped { map, len } => &map[..*len],
        }
    }
}

/// Bytes of a complete body, and the reservation that they keep.
struct HeldBody {
    storage: Storage,
    _reservation: Reservation,
}

impl AsRef<[u8]> for HeldBody {
    fn as_ref(&self) -> &[u8] {
        self.storage.bytes()
    }
}

/// Body that is being read. Its memory is reserved until the last copy of the body is dropped.
pub(crate) struct BodyBuffer {
    storage: Storage,
    reservation: Reservation,
    max_len: usize,
}

impl BodyBuffer {
    /// Returns a buffer for a body of `len` bytes, as soon as the memory for it is free.
    pub(crate) async fn of_length(memory: &MemoryBudget, len: usize) -> Result<Self, BodyError> {
        let Some(reservation) = memory.reserve(len).await else {
            return Err(BodyError::TooLarge);
        };
        Ok(Self {
            storage: Storage::with_capacity(len)?,
            reservation,
            max_len: len,
        })
    }

    /// Returns a buffer for a body of unknown length, for which memory is reserved as it grows.
    pub(crate) fn of_unknown_length(memory: &MemoryBudget, max_len: usize) -> Self {
        Self {
            storage: Storage::Heap(Vec::new()),
            reservation: memory.begin(),
            max_len,
        }
    }

    /// Appends the next bytes of the body.
    pub(crate) fn push(&mut self, data: &[u8]) -> Result<(), BodyError> {
        let len = self.storage.bytes().len() + data.len();
        if len > self.max_len {
            return Err(BodyError::TooLarge);
        }
        if !self.reservation.try_reserve_up_to(len) {
            return Err(BodyError::NoMemory);
        }
        if len >= MAPPED_MIN_BYTES && matches!(self.storage, Storage::Heap(_)) {
            let mut mapped = Storage::with_capacity(self.max_len)?;
            mapped.push(self.storage.bytes());
            self.storage = mapped;
        }
        self.storage.push(data);
        Ok(())
    }

    /// Returns the complete body.
    pub(crate) fn into_bytes(self) -> Bytes {
        if self.storage.bytes().is_empty() {
            return Bytes::new();
        }
        Bytes::from_owner(HeldBody {
            storage: self.storage,
            _reservation: self.reservation,
        })
    }
}
