//! Parsing and verification of the text form of tickets.

use jm_order::{SignedTicket, Ticket, TicketError, TicketSecret};
use jm_types::{Incarnation, Timestamp};

fn ticket() -> Ticket {
    Ticket {
        member: "riga-a-1".parse().unwrap(),
        incarnation: Incarnation::new(7),
        organisation: "parish".parse().unwrap(),
        service: "order-desk".parse().unwrap(),
        serial: 12,
        issued: Timestamp::new(3_400),
    }
}

fn secret() -> TicketSecret {
    TicketSecret::new(*b"fleet secret")
}

/// Guards against a field that is lost when a ticket is formatted and parsed again.
#[test]
fn round_trip() {
    let text = secret().sign(ticket()).to_string();
    let read: SignedTicket = text.parse().unwrap();
    assert_eq!(read.verify(&secret()), Ok(&ticket()));
}

/// Guards against acceptance of a modified ticket. No replacement of one character may pass verification.
#[test]
fn changed_text() {
    let text = secret().sign(ticket()).to_string();
    for position in 0..text.len() {
        for replacement in ["0", "1", "a", "f", "/", "+", "-"] {
            let mut changed = text.clone();
            changed.replace_range(position..=position, replacement);
            if changed == text {
                continue;
            }
            let verified = changed
                .parse::<SignedTicket>()
                .and_then(|signed| signed.verify(&secret()).cloned());
            assert!(verified.is_err(), "{changed} passed verification");
        }
    }
}

/// Guards against acceptance of tickets that another fleet signed.
#[test]
fn other_secret() {
    let text = TicketSecret::new(*b"other").sign(ticket()).to_string();
    let read: SignedTicket = text.parse().unwrap();
    assert_eq!(read.verify(&secret()), Err(TicketError::Forged));
}

/// Guards against several text forms of one ticket, and against panics on malformed text.
#[test]
fn malformed_text() {
    let text = secret().sign(ticket()).to_string();
    let malformed = [
        String::new(),
        "t1".to_owned(),
        "t1///////".to_owned(),
        text.replacen("t1/", "t2/", 1),
        text.replacen("/12/", "/+12/", 1),
        text.replacen("/12/", "/012/", 1),
        text.to_uppercase(),
        format!("{text}0"),
        format!("{text} "),
        text[..text.len() - 1].to_owned(),
    ];
    for text in malformed {
        assert_eq!(
            text.parse::<SignedTicket>(),
            Err(TicketError::Malformed),
            "{text}"
        );
    }
}

/// Guards against leaking the fleet secret into logs.
#[test]
fn hidden_secret() {
    assert_eq!(format!("{:?}", secret()), "TicketSecret(..)");
}
