//! Relay of TCP connections, which stands for an address of the store.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};

pub struct Relay {
    pub address: String,
    closed: AtomicBool,
    open: Mutex<Vec<TcpStream>>,
}

impl Relay {
    /// Relays the connections to a free port to `upstream`.
    pub fn start(upstream: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port for the relay");
        let address = listener.local_addr().expect("an address").to_string();
        let relay = Arc::new(Self {
            address,
            closed: AtomicBool::new(false),
            open: Mutex::default(),
        });
        let (serving, upstream) = (Arc::clone(&relay), upstream.to_owned());
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if serving.closed.load(Ordering::Relaxed) {
                    return;
                }
                let Ok(other) = TcpStream::connect(&upstream) else {
                    continue;
                };
                stream.set_nodelay(true).ok();
                other.set_nodelay(true).ok();
                let mut open = serving.open.lock().expect("no holder panics");
                open.extend(stream.try_clone());
                open.extend(other.try_clone());
                drop(open);
                if let (Ok(from), Ok(to)) = (stream.try_clone(), other.try_clone()) {
                    std::thread::spawn(move || copy(from, to));
                }
                std::thread::spawn(move || copy(other, stream));
            }
        });
        relay
    }

    /// Closes all connections and accepts no other.
    pub fn close(&self) {
        self.closed.store(true, Ordering::Relaxed);
        for stream in self.open.lock().expect("no holder panics").drain(..) {
            stream.shutdown(Shutdown::Both).ok();
        }
        TcpStream::connect(&self.address).ok();
    }
}

fn copy(mut from: TcpStream, mut to: TcpStream) {
    let mut chunk = [0_u8; 16 * 1_024];
    while let Ok(len) = from.read(&mut chunk) {
        if len == 0 || to.write_all(&chunk[..len]).is_err() {
            break;
        }
    }
    to.shutdown(Shutdown::Both).ok();
}
