//! Messages between nodes as bytes: JSON, since it takes added fields in a rolling upgrade, packed
//! with deflate and a dictionary of what most messages repeat.

use std::cell::RefCell;
use std::io;
use std::marker::PhantomData;
use std::pin::Pin;

use flate2::{
    Compress,
    Compression,
    Decompress,
    FlushCompress,
    FlushDecompress,
    Status, //
};
use serde::{
    de::DeserializeOwned,
    Serialize, //
};
use tarpc::tokio_serde::{
    Deserializer,
    Serializer, //
};
use tarpc::tokio_util::bytes::{
    Bytes,
    BytesMut, //
};

/// First byte of each message; names the dictionary. A node of another format is refused.
const FORMAT: u8 = 1;

/// What most messages repeat; the most frequent stands last, where it costs least to refer to.
const DICTIONARY: &[u8] = include_bytes!("dictionary.json");

/// Largest message when unpacked, in bytes.
const UNPACKED_MAX_BYTES: usize = 32 * 1_024 * 1_024;

/// Bytes by which the buffer of a message grows while it is unpacked.
const UNPACK_STEP_BYTES: usize = 4 * 1_024;

/// Packs and unpacks; its state is reset for each message, so that one serves all connections.
struct Packer {
    compress: Compress,
    decompress: Decompress,
}

thread_local! {
    static PACKER: RefCell<Packer> = RefCell::new(Packer {
        compress: Compress::new(Compression::new(4), false),
        decompress: Decompress::new(false),
    });
}

impl Packer {
    fn pack(&mut self, plain: &[u8]) -> io::Result<Vec<u8>> {
        self.compress.reset();
        self.compress
            .set_dictionary(DICTIONARY)
            .map_err(io::Error::other)?;
        let mut packed = Vec::with_capacity(64 + plain.len() / 2);
        packed.push(FORMAT);
        loop {
            let done = self.compress.total_in() as usize;
            let status = self
                .compress
                .compress_vec(&plain[done..], &mut packed, FlushCompress::Finish)
                .map_err(io::Error::other)?;
            if status == Status::StreamEnd {
                return Ok(packed);
            }
            packed.reserve(64 + plain.len() / 4);
        }
    }

    fn unpack(&mut self, packed: &[u8]) -> io::Result<Vec<u8>> {
        let packed = match packed.split_first() {
            Some((&FORMAT, packed)) => packed,
            first => {
                let format = first.map(|(format, _)| *format);
                return Err(damaged(&format!("its format is {format:?}, not {FORMAT}")));
            }
        };
        self.decompress.reset(false);
        self.decompress
            .set_dictionary(DICTIONARY)
            .map_err(io::Error::other)?;
        let mut plain = Vec::with_capacity(UNPACK_STEP_BYTES.max(packed.len() * 3));
        loop {
            let done = self.decompress.total_in() as usize;
            let known = plain.len();
            let status = self
                .decompress
                .decompress_vec(&packed[done..], &mut plain, FlushDecompress::None)
                .map_err(|error| damaged(&error.to_string()))?;
            if status == Status::StreamEnd {
                return Ok(plain);
            }
            let stuck = plain.len() == known && plain.capacity() > known;
            if stuck || plain.len() > UNPACKED_MAX_BYTES {
                return Err(damaged("it has no end"));
            }
            plain.reserve(UNPACK_STEP_BYTES);
        }
    }
}

fn damaged(why: &str) -> io::Error {
    io::Error::new(
        io::ErrorKind::InvalidData,
        format!("a message can't be read: {why}"),
    )
}

/// Writes and reads the messages of one connection.
pub(crate) struct PackedJson<Read, Written> {
    messages: PhantomData<(Read, Written)>,
}

impl<Read, Written> Default for PackedJson<Read, Written> {
    fn default() -> Self {
        Self {
            messages: PhantomData,
        }
    }
}

impl<Read, Written: Serialize> Serializer<Written> for PackedJson<Read, Written> {
    type Error = io::Error;

    fn serialize(self: Pin<&mut Self>, message: &Written) -> io::Result<Bytes> {
        let plain = serde_json::to_vec(message)?;
        PACKER
            .with_borrow_mut(|packer| packer.pack(&plain))
            .map(Bytes::from)
    }
}

impl<Read: DeserializeOwned, Written> Deserializer<Read> for PackedJson<Read, Written> {
    type Error = io::Error;

    fn deserialize(self: Pin<&mut Self>, packed: &BytesMut) -> io::Result<Read> {
        let plain = PACKER.with_borrow_mut(|packer| packer.unpack(packed))?;
        Ok(serde_json::from_slice(&plain)?)
    }
}
