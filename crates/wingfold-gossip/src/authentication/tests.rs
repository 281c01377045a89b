//! Signed datagrams: key replacement, and repeated and reordered delivery.
use super::*;
use proptest::prelude::*;

fn sender(_: &[u8]) -> Option<Sender> {
    Some(Sender { member: 1, incarnation: 1 })
}

#[test]
fn datagrams_are_accepted_once_and_during_key_replacement() {
    let (old, new) = (b"old".to_vec(), b"new".to_vec());
    let mut signer = Authenticator::new(vec![old.clone()]);
    let mut receiver = Authenticator::new(vec![old.clone()]);
    let first = signer.sign(b"news".to_vec());
    assert_eq!(first.len(), 4 + TRAILER_BYTES);
    assert_eq!(receiver.verify(&first, sender), Some(&b"news"[..]));
    assert_eq!(receiver.verify(&first, sender), None, "a repeated datagram was accepted");
    // All directors accept the new key, then all sign with it, then the old key is removed.
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
    assert_eq!(receiver.verify(b"x", sender), None, "a datagram without a tag was accepted");
    assert_eq!(receiver.rejections, Rejections { unauthenticated: 2, replayed: 1 });
}

proptest! {
    #[test]
    fn each_datagram_is_accepted_once_in_any_order(
        order in prop::collection::vec(0..40usize, 1..200),
    ) {
        let mut signer = Authenticator::new(vec![b"k".to_vec()]);
        let mut receiver = Authenticator::new(vec![b"k".to_vec()]);
        let signed: Vec<Vec<u8>> = (0..40u8).map(|index| signer.sign(vec![index])).collect();
        let mut accepted = std::collections::BTreeSet::new();
        for index in order {
            let is_accepted = receiver.verify(&signed[index], sender).is_some();
            prop_assert_eq!(is_accepted, accepted.insert(index), "datagram {}", index);
        }
    }
}
