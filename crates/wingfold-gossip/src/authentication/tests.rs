//! Signed datagrams under lost, repeated and reordered delivery.
use super::*;
use proptest::prelude::*;

fn sender(_: &[u8]) -> Option<Sender> {
    Some(Sender { member: 1, incarnation: 1 })
}

#[test]
fn a_datagram_is_accepted_once_under_a_known_key_and_keys_change_without_a_gap() {
    let (old, new) = (b"old".to_vec(), b"new".to_vec());
    let mut signer = Authenticator::new(vec![old.clone()]);
    let mut receiver = Authenticator::new(vec![old.clone()]);
    let first = signer.sign(b"news".to_vec());
    assert_eq!(first.len(), 4 + TRAILER_BYTES);
    assert_eq!(receiver.verify(&first, sender), Some(&b"news"[..]));
    assert_eq!(receiver.verify(&first, sender), None, "once");
    // Everybody accepts the new key, then everybody uses it, then the old one goes.
    receiver.replace_keys(vec![old.clone(), new.clone()]);
    let second = signer.sign(b"x".to_vec());
    assert!(receiver.verify(&second, sender).is_some());
    signer.replace_keys(vec![new.clone(), old]);
    let third = signer.sign(b"x".to_vec());
    assert!(receiver.verify(&third, sender).is_some());
    receiver.replace_keys(vec![new]);
    assert!(receiver.verify(&signer.sign(b"x".to_vec()), sender).is_some());
    let unknown = Authenticator::new(vec![b"other".to_vec()]).sign(b"x".to_vec());
    assert_eq!(receiver.verify(&unknown, sender), None);
    assert_eq!(receiver.verify(b"x", sender), None, "without a tag");
    assert_eq!(receiver.rejections, Rejections { unauthenticated: 2, replayed: 1 });
}

proptest! {
    #[test]
    fn each_datagram_is_accepted_once_in_whatever_order_they_come(
        order in prop::collection::vec(0..40usize, 1..200),
    ) {
        let mut signer = Authenticator::new(vec![b"k".to_vec()]);
        let mut receiver = Authenticator::new(vec![b"k".to_vec()]);
        let signed: Vec<Vec<u8>> = (0..40u8).map(|at| signer.sign(vec![at])).collect();
        let mut accepted = std::collections::BTreeSet::new();
        for at in order {
            let is_accepted = receiver.verify(&signed[at], sender).is_some();
            prop_assert_eq!(is_accepted, accepted.insert(at), "datagram {}", at);
        }
    }
}
