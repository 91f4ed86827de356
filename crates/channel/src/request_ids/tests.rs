use super::*;

fn id(number: usize) -> HeaderValue {
    HeaderValue::from_str(&format!("{number:016x}")).expect("a header value")
}

/// Opens a request and ends it after one attempt.
fn run(ids: &RequestIds, number: usize, at_most_once: bool) {
    let state = Arc::<RequestState>::default();
    let _open =
        ids.open(&id(number), at_most_once, state.clone()).unwrap_or_else(|e| panic!("{number}: {e}"));
    assert!(state.begin_send());
}

#[test]
fn an_id_whose_request_never_ran_may_come_again() {
    let ids = RequestIds::default();
    for _ in 0..3 {
        let state = Arc::<RequestState>::default();
        let open = ids.open(&id(1), true, state.clone()).unwrap_or_else(|e| panic!("{e}"));
        assert!(matches!(ids.open(&id(1), true, Arc::default()), Err(BadRequest::DuplicateId)));
        assert!(state.begin_send());
        state.attempt_never_ran();
        drop(open);
        assert!(!state.begin_send(), "an attempt began after the end of its request");
    }
    run(&ids, 1, false);
    run(&ids, 1, true);
    assert!(matches!(ids.open(&id(1), true, Arc::default()), Err(BadRequest::MayHaveRun)));
}

#[test]
fn the_oldest_ids_are_forgotten_beyond_the_limit() {
    let ids = RequestIds::default();
    for number in 0..MAX_REMEMBERED + 10 {
        run(&ids, number, true);
    }
    let is_known = |number: &usize| ids.open(&id(*number), true, Arc::default()).is_err();
    assert_eq!((0..MAX_REMEMBERED + 10).filter(is_known).count(), MAX_REMEMBERED);
    assert!(!is_known(&9) && is_known(&10));
    assert_eq!(ids.lock().order.len(), MAX_REMEMBERED);
}
