//! `testbed log`: runs the stand-in for the platform's log.

use std::net::TcpListener;

use figway_testbed::log_server::LogServer;

use crate::cmd::{
    Log,
    Run, //
};

impl Run for Log {
    async fn run(&self) -> anyhow::Result<()> {
        let listener = TcpListener::bind(self.listen.as_deref().unwrap_or("127.0.0.1:0"))?;
        let address = listener.local_addr()?;
        let server = LogServer::default().serve(listener)?;
        println!(r#"{{"log":"{address}"}}"#);
        server.await?;
        Ok(())
    }
}
