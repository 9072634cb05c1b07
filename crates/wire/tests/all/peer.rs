//! Messages between instances.

use std::net::{Ipv4Addr, SocketAddr};

use teaselshunt_core::Message;
use teaselshunt_wire::peer::{decode, encode};

fn messages() -> [Message; 3] {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 7000));
    [
        Message::Fetch { version: 7, revision: 1 << 40, name: "north-1".to_owned(), address },
        Message::Configuration { text: "{\"version\": 7}".to_owned() },
        Message::Configuration { text: String::new() },
    ]
}

/// Guards against a message whose stream ends early and that is taken for a shorter whole one.
#[test]
fn a_message_that_is_cut_at_any_byte_is_no_message() {
    for message in messages() {
        let bytes = encode(&message);
        decode(&bytes).expect("the whole message");
        for length in 0..bytes.len() {
            assert!(decode(&bytes[..length]).is_err(), "{length} of {} bytes of {message:?}", bytes.len());
        }
    }
}
