//! The advertisement of VRRP version 3 for IPv4, as bytes.

use std::net::Ipv4Addr;

use thiserror::Error;

const VERSION: u8 = 3;
const ADVERTISEMENT: u8 = 1;
const HEADER: usize = 8;
/// The field for the interval has twelve bits.
pub const MAX_INTERVAL: u16 = 0x0fff;

/// An advertisement.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// The virtual router.
    pub vrid: u8,
    /// The sender's priority; 0 says that it stops.
    pub priority: u8,
    /// How often the sender advertises, in hundredths of a second.
    pub interval_cs: u16,
    /// The virtual addresses.
    pub addresses: Vec<Ipv4Addr>,
}

/// Why bytes are no advertisement.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdvertisementError {
    /// Too short, or not as long as its count of addresses says.
    #[error("its length is wrong")]
    Length,
    /// Not version 3.
    #[error("its version is not {VERSION}")]
    Version,
    /// Not an advertisement.
    #[error("its type is unknown")]
    Type,
    /// No address at all.
    #[error("it names no address")]
    NoAddress,
    /// Damaged on its way.
    #[error("its checksum is wrong")]
    Checksum,
    /// An interval of nothing.
    #[error("its interval is 0")]
    Interval,
}

impl Advertisement {
    /// The bytes to send.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![
            VERSION << 4 | ADVERTISEMENT,
            self.vrid,
            self.priority,
            self.addresses.len() as u8,
            (self.interval_cs >> 8) as u8 & 0x0f,
            self.interval_cs as u8,
            0,
            0,
        ];
        self.addresses.iter().for_each(|a| bytes.extend_from_slice(&a.octets()));
        let sum = checksum(&bytes);
        bytes[6..HEADER].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Reads what came.
    pub fn decode(bytes: &[u8]) -> Result<Self, AdvertisementError> {
        let [first, vrid, priority, count, high, low, _, _, addresses @ ..] = bytes else {
            return Err(AdvertisementError::Length);
        };
        if first >> 4 != VERSION {
            return Err(AdvertisementError::Version);
        }
        if first & 0x0f != ADVERTISEMENT {
            return Err(AdvertisementError::Type);
        }
        if addresses.len() != 4 * usize::from(*count) {
            return Err(AdvertisementError::Length);
        }
        // With its own checksum in place, the sum of all is zero.
        if checksum(bytes) != 0 {
            return Err(AdvertisementError::Checksum);
        }
        if *count == 0 {
            return Err(AdvertisementError::NoAddress);
        }
        let interval_cs = u16::from_be_bytes([high & 0x0f, *low]);
        if interval_cs == 0 {
            return Err(AdvertisementError::Interval);
        }
        let addresses = addresses.chunks_exact(4).map(|a| Ipv4Addr::new(a[0], a[1], a[2], a[3])).collect();
        Ok(Advertisement { vrid: *vrid, priority: *priority, interval_cs, addresses })
    }
}

/// The Internet checksum over the message alone, as RFC 9568 has it for IPv4.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|w| u32::from(w[0]) << 8 | u32::from(*w.get(1).unwrap_or(&0)));
    let mut sum: u32 = words.sum();
    while sum > 0xffff {
        sum = (sum & 0xffff) + (sum >> 16);
    }
    !(sum as u16)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn advertisement() -> Advertisement {
        let addresses = vec![Ipv4Addr::new(192, 0, 2, 1)];
        Advertisement { vrid: 7, priority: 100, interval_cs: 100, addresses }
    }

    #[test]
    fn bytes_are_laid_out_as_the_rfc_draws_them() {
        let bytes = advertisement().encode();
        assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xa8, 0x91, 192, 0, 2, 1]);
        assert_eq!(Advertisement::decode(&bytes), Ok(advertisement()));
    }

    #[test]
    fn damaged_or_foreign_bytes_are_told_apart() {
        let good = advertisement().encode();
        let with = |at: usize, byte: u8| {
            let mut bytes = good.clone();
            bytes[at] = byte;
            Advertisement::decode(&bytes)
        };
        assert_eq!(with(0, 0x21), Err(AdvertisementError::Version));
        assert_eq!(with(0, 0x32), Err(AdvertisementError::Type));
        assert_eq!(with(2, 101), Err(AdvertisementError::Checksum));
        assert_eq!(with(3, 2), Err(AdvertisementError::Length));
        assert_eq!(Advertisement::decode(&good[..7]), Err(AdvertisementError::Length));
        let empty = Advertisement { addresses: Vec::new(), ..advertisement() };
        assert_eq!(Advertisement::decode(&empty.encode()), Err(AdvertisementError::NoAddress));
        let never = Advertisement { interval_cs: 0, ..advertisement() };
        assert_eq!(Advertisement::decode(&never.encode()), Err(AdvertisementError::Interval));
    }
}
