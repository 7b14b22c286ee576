//! Lists of the store's objects, put together from their pages.

use fireflycroft_platform::{StorePage, read_page};
use fireflydirect::store_list::{NoProgress, StoreList};
use serde_json::{Value, json};

/// Defines test cases of a list of these pages: their names, whether more follow, and what appending each returns.
macro_rules! cases {
    ($($name:ident: $([$($object:literal),*] $more:literal => $appended:expr),+;)+) => {
        $(
            #[test]
            fn $name() {
                let mut list = StoreList::default();
                $(assert_eq!(list.append(page(&[$($object),*], $more)), $appended);)+
            }
        )+
    };
}

fn page(names: &[&str], more: bool) -> StorePage {
    let object = |name: &&str| json!({"metadata": {"name": name, "revision": 1}, "spec": null});
    let items: Vec<Value> = names.iter().map(object).collect();
    let body = json!({"items": items, "more": more, "store_revision": 7});
    read_page(200, body.to_string().as_bytes()).unwrap()
}

cases! {
    list_of_two_pages_goes_on: ["a", "b"] true => Ok(true), ["c"] false => Ok(false);
    empty_page_with_more_to_come_is_not_asked_for_at_once: [] true => Err(NoProgress);
    page_that_ends_where_it_began_is_not_asked_for_at_once: ["a"] true => Ok(true), ["a"] true => Err(NoProgress);
    empty_list_is_complete: [] false => Ok(false);
}
