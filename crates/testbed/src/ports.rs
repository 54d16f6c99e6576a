//! Loopback ports of processes that the test bed starts.

use std::io::ErrorKind;
use std::net::{
    Ipv4Addr,
    SocketAddr,
    TcpStream,
    UdpSocket, //
};
use std::time::Duration;

/// Ports that processes listen on. The range is below the ephemeral ports: an outgoing connection
/// could otherwise occupy the port of a process while the process is down.
const PORT_RANGE: std::ops::Range<u64> = 15_000..30_000;

/// Longest wait for a listener on a port that is probed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Reserved TCP ports. A UDP socket stays bound to each port number, so that no other test bed
/// reserves it while nothing listens there.
#[derive(Default)]
pub struct ReservedPorts {
    reservations: Vec<UdpSocket>,
}

impl ReservedPorts {
    /// Reserves a random free port and returns it.
    pub fn reserve(&mut self) -> u16 {
        loop {
            let index = figway_types::entropy() % (PORT_RANGE.end - PORT_RANGE.start);
            let port = (PORT_RANGE.start + index) as u16;
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
            let Ok(reservation) = UdpSocket::bind(address) else {
                continue;
            };
            if is_free(address) {
                self.reservations.push(reservation);
                return port;
            }
        }
    }
}

/// Returns whether nothing listens at `address`. A listener of our own would find that out too, but a
/// process that another thread starts at this moment would keep a copy of it until it runs its program.
fn is_free(address: SocketAddr) -> bool {
    match TcpStream::connect_timeout(&address, PROBE_TIMEOUT) {
        Ok(_) => false,
        Err(error) => error.kind() == ErrorKind::ConnectionRefused,
    }
}
