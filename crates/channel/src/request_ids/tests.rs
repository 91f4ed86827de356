use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("{number:016x}")).expect("a header value")
}

/// Opens a request and ends it after one attempt.
fn run(ids: &RequestIds, number: usize, at_most_once: bool) {
    let open = ids.open(&id(number), at_most_once).unwrap_or_else(|e| panic!("{number}: {e}"));
    assert!(open.state().begin_send());
}

#[test]
fn an_id_whose_request_never_ran_may_come_again() {
    let ids = RequestIds::default();
    for _ in 0..3 {
        let open = ids.open(&id(1), true).unwrap_or_else(|e| panic!("{e}"));
        let state = open.state().clone();
        assert!(matches!(ids.open(&id(1), true), Err(BadRequest::DuplicateId)));
        assert!(state.begin_send());
        state.attempt_never_ran();
        drop(open);
        assert!(!state.begin_send(), "an attempt began after the end of its request");
    }
    run(&ids, 1, false);
    run(&ids, 1, true);
    assert!(matches!(ids.open(&id(1), true), Err(BadRequest::MayHaveRun)));
}

#[test]
fn the_oldest_ids_are_forgotten_beyond_the_limit() {
    let ids = RequestIds::default();
    for number in 0..MAX_REMEMBERED + 10 {
        run(&ids, number, true);
    }
    let is_known = |number: &usize| ids.open(&id(*number), true).is_err();
    assert_eq!((0..MAX_REMEMBERED + 10).filter(is_known).count(), MAX_REMEMBERED);
    assert!(!is_known(&9) && is_known(&10));
    assert_eq!(ids.lock().order.len(), MAX_REMEMBERED);
}

/// What one process sends is known to the other, and that it did not run, too.
#[test]
fn processes_that_share_a_directory_know_each_others_ids() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let [old, new] = [RequestIds::default(), RequestIds::default()];
    [&old, &new].iter().for_each(|ids| ids.share_in(directory.path()).expect("shared"));
    let turned_away = old.open(&id(1), true).unwrap_or_else(|e| panic!("{e}"));
    assert!(turned_away.state().begin_send());
    assert!(matches!(new.open(&id(1), true), Err(BadRequest::MayHaveRun)));
    turned_away.state().attempt_never_ran();
    drop(turned_away);
    run(&new, 1, true);
    assert!(matches!(old.open(&id(1), true), Err(BadRequest::MayHaveRun)));
    let restarted = RequestIds::default();
    restarted.share_in(directory.path()).expect("shared");
    assert!(matches!(restarted.open(&id(1), true), Err(BadRequest::MayHaveRun)));
}
