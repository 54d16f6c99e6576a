//! Opens TCP connections and sets their socket options.

use std::net::{
    IpAddr,
    SocketAddr, //
};
use std::time::Duration;

use socket2::{
    SockRef,
    TcpKeepalive, //
};
use tokio::net::{
    TcpSocket,
    TcpStream, //
};

/// Time after which bytes that the peer doesn't take, or unanswered keep-alive probes, end a connection.
pub(crate) const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Idle time before the first keep-alive probe, and interval between probes.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

/// Sets the socket options of a connection: short messages are sent without delay, and an
/// unresponsive peer ends the connection.
pub fn set_socket_options(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("could not set TCP_NODELAY: {error}");
    }
    set_user_timeout(stream, USER_TIMEOUT);
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(2);
    if let Err(error) = socket.set_tcp_keepalive(&probes) {
        log::debug!("could not set keep-alive probes: {error}");
    }
}

/// Sets the time after which bytes that the peer doesn't take end the connection.
pub(crate) fn set_user_timeout(stream: &TcpStream, timeout: Duration) {
    if let Err(error) = SockRef::from(stream).set_tcp_user_timeout(Some(timeout)) {
        log::debug!("could not set TCP_USER_TIMEOUT: {error}");
    }
}

/// Connects to `address`, which is `IP:PORT`. The socket is bound to `local_ip` if one is given and
/// has the same IP version.
///
/// # Errors
///
/// `address` is not `IP:PORT`, or the connection could not be opened.
pub async fn connect(address: &str, local_ip: Option<IpAddr>) -> std::io::Result<TcpStream> {
    let address: SocketAddr = address
        .parse()
        .map_err(|_| std::io::Error::other("the address is not IP:PORT"))?;
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    if let Some(local_ip) = local_ip.filter(|ip| ip.is_ipv4() == address.is_ipv4()) {
        socket.bind(SocketAddr::new(local_ip, 0))?;
    }
    let stream = socket.connect(address).await?;
    set_socket_options(&stream);
    Ok(stream)
}
