//! Numbers of orders to engines.

use std::net::{IpAddr, SocketAddr};

use crate::ledger::tag;

/// Numbers of orders, which rise with each order of a process. Instances with different IPv4 addresses never draw the same.
#[derive(Debug, Clone, Copy)]
pub struct FencingNumbers {
    instance: u32,
    count: u64,
}

/// Bits of a fencing number that identify the instance. With them, numbers of two million orders are exact in JSON.
const INSTANCE_BITS: u32 = 32;

impl FencingNumbers {
    /// The numbers of the instance with this control address.
    pub fn new(control: SocketAddr) -> Self {
        let instance = match control.ip() {
            IpAddr::V4(ip) => u32::from(ip),
            IpAddr::V6(ip) => tag(&ip.to_string()),
        };
        Self { instance, count: 0 }
    }

    /// Draws the next number.
    pub fn draw(&mut self) -> u64 {
        self.count += 1;
        self.count << INSTANCE_BITS | u64::from(self.instance)
    }
}
