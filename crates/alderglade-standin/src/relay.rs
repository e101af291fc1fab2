//! A relay on loopback that can be cut, to part hosts from each other or from the platform.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

/// A relay to one address.
#[derive(Debug, Clone)]
pub struct Relay {
    address: SocketAddr,
    cut: Arc<AtomicBool>,
}

/// How often a relayed connection looks whether it is cut.
const LOOK: Duration = Duration::from_millis(20);

impl Relay {
    /// Starts a relay to `target`.
    ///
    /// # Panics
    ///
    /// Where no port is free.
    pub fn start(target: SocketAddr) -> Relay {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let cut = Arc::new(AtomicBool::new(false));
        let flag = cut.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                if flag.load(Ordering::Relaxed) {
                    continue;
                }
                if let Ok(far) = TcpStream::connect(target) {
                    pump(&socket, &far, flag.clone());
                    pump(&far, &socket, flag.clone());
                }
            }
        });
        Relay { address, cut }
    }

    /// Gives the relay's address.
    pub fn address(&self) -> String {
        self.address.to_string()
    }

    /// Cuts or mends the connection.
    pub fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::Relaxed);
    }
}

fn pump(from: &TcpStream, to: &TcpStream, cut: Arc<AtomicBool>) {
    let (Ok(mut from), Ok(mut to)) = (from.try_clone(), to.try_clone()) else {
        return;
    };
    let _ = from.set_read_timeout(Some(LOOK));
    let _ = from.set_nodelay(true);
    thread::spawn(move || {
        let mut buffer = vec![0; 64 * 1_024];
        while !cut.load(Ordering::Relaxed) {
            match from.read(&mut buffer) {
                Ok(0) => break,
                Ok(count) if to.write_all(&buffer[..count]).is_err() => break,
                Ok(_) => {}
                Err(error) if is_pause(&error) => {}
                Err(_) => break,
            }
        }
        let _ = from.shutdown(Shutdown::Both);
        let _ = to.shutdown(Shutdown::Both);
    });
}

fn is_pause(error: &std::io::Error) -> bool {
    matches!(
        error.kind(),
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
    )
}
