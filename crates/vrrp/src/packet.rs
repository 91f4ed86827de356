//! Encoding of the VRRP version 3 advertisement for IPv4 (RFC 9568, section 5).

use std::net::Ipv4Addr;

use thiserror::Error;

const VERSION: u8 = 3;
const TYPE_ADVERTISEMENT: u8 = 1;
/// Bytes ahead of the addresses.
const HEADER_LEN: usize = 8;
/// Largest advertisement interval in centiseconds: its field has 12 bits.
pub const MAX_INTERVAL_CS: u16 = 0x0fff;

/// A VRRP advertisement, with which the active router announces itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advertisement {
    /// Virtual router identifier (VRID).
    pub vrid: u8,
    /// The sender's priority; 0 announces that it stops being active.
    pub priority: u8,
    /// The sender's advertisement interval in centiseconds.
    pub interval_cs: u16,
    /// Virtual IPv4 addresses of the router.
    pub addresses: Vec<Ipv4Addr>,
}

/// Reasons to reject a packet as an advertisement.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum AdvertisementError {
    /// Shorter than the header, or not as long as the count of addresses implies.
    #[error("the length of the packet does not match its count of addresses")]
    Length,
    /// The VRRP version is not 3.
    #[error("the VRRP version is not {VERSION}")]
    Version,
    /// The packet type is not ADVERTISEMENT, the only one that VRRP defines.
    #[error("the packet type is not {TYPE_ADVERTISEMENT} (advertisement)")]
    Type,
    /// The count of addresses is 0.
    #[error("the count of addresses is 0")]
    NoAddress,
    /// The checksum does not match the content.
    #[error("the checksum does not match the content")]
    Checksum,
    /// The advertisement interval is 0.
    #[error("the advertisement interval is 0")]
    Interval,
}

impl Advertisement {
    /// Encodes the advertisement with its checksum.
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = vec![
            VERSION << 4 | TYPE_ADVERTISEMENT,
            self.vrid,
            self.priority,
            self.addresses.len() as u8,
            (self.interval_cs >> 8) as u8 & 0x0f,
            self.interval_cs as u8,
            0,
            0,
        ];
        self.addresses.iter().for_each(|address| bytes.extend_from_slice(&address.octets()));
        let sum = checksum(&bytes);
        bytes[6..HEADER_LEN].copy_from_slice(&sum.to_be_bytes());
        bytes
    }

    /// Decodes a received packet.
    ///
    /// # Errors
    /// The packet is not a valid VRRP version 3 advertisement for IPv4.
    pub fn decode(bytes: &[u8]) -> Result<Self, AdvertisementError> {
        let [first, vrid, priority, count, high, low, _, _, addresses @ ..] = bytes else {
            return Err(AdvertisementError::Length);
        };
        if first >> 4 != VERSION {
            return Err(AdvertisementError::Version);
        }
        if first & 0x0f != TYPE_ADVERTISEMENT {
            return Err(AdvertisementError::Type);
        }
        if addresses.len() != 4 * usize::from(*count) {
            return Err(AdvertisementError::Length);
        }
        // The checksum over a message that includes its own checksum is zero.
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
        let addresses = addresses
            .chunks_exact(4)
            .map(|octets| Ipv4Addr::new(octets[0], octets[1], octets[2], octets[3]))
            .collect();
        Ok(Advertisement { vrid: *vrid, priority: *priority, interval_cs, addresses })
    }
}

/// The Internet checksum over the VRRP message without a pseudo-header, as RFC 9568 defines it for IPv4.
fn checksum(bytes: &[u8]) -> u16 {
    let words = bytes.chunks(2).map(|pair| u32::from(pair[0]) << 8 | u32::from(*pair.get(1).unwrap_or(&0)));
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
    fn advertisement_is_encoded_in_the_layout_of_the_rfc() {
        let bytes = advertisement().encode();
        assert_eq!(bytes, [0x31, 7, 100, 1, 0, 100, 0xa8, 0x91, 192, 0, 2, 1]);
        assert_eq!(Advertisement::decode(&bytes), Ok(advertisement()));
    }

    #[test]
    fn each_invalid_packet_is_rejected_with_its_own_error() {
        let valid = advertisement().encode();
        let with = |at: usize, byte: u8| {
            let mut bytes = valid.clone();
            bytes[at] = byte;
            Advertisement::decode(&bytes)
        };
        assert_eq!(with(0, 0x21), Err(AdvertisementError::Version));
        assert_eq!(with(0, 0x32), Err(AdvertisementError::Type));
        assert_eq!(with(2, 101), Err(AdvertisementError::Checksum));
        assert_eq!(with(3, 2), Err(AdvertisementError::Length));
        assert_eq!(Advertisement::decode(&valid[..7]), Err(AdvertisementError::Length));
        let no_address = Advertisement { addresses: Vec::new(), ..advertisement() };
        assert_eq!(Advertisement::decode(&no_address.encode()), Err(AdvertisementError::NoAddress));
        let zero_interval = Advertisement { interval_cs: 0, ..advertisement() };
        assert_eq!(Advertisement::decode(&zero_interval.encode()), Err(AdvertisementError::Interval));
    }
}
