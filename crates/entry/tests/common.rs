//! A small bundle that the tests share.

use bundle::{Bundle, sign};
use std::sync::LazyLock;

/// Key of the team `kitchens`, which may use only the priority `normal`.
pub const KITCHENS_KEY: &str = "kitchens-key";
/// Key of the team `duty`, which may also use the urgent priority `alarm`.
pub const DUTY_KEY: &str = "duty-key";

/// A bundle with two teams and two priorities.
pub static BUNDLE: LazyLock<Bundle> = LazyLock::new(|| {
    let text = format!(
        "[zone zone-0]\nregion = south\n\
         [kind any]\nlayers_per_second = 1000\n\
         [model menu]\nversion = 1\nlayers = 4\ncontext = 8192\n\
         [priority alarm]\nrank = 0\nurgent = yes\n\
         [priority normal]\nrank = 10\nweight = 4\n\
         [link zone-0 zone-0]\nlatency = 100us\ntokens_per_second = 1000000\n\
         [endpoint e]\ninstance = e\naddr = 127.0.0.1:9\nzone = zone-0\nkind = any\nspans = menu 0..4\nslots = 4\nfenced = yes\n\
         [team kitchens]\nkeys = {}\nweight = 1\nrate = 10\nin_flight = 10\ntop = normal\nusual = normal\n\
         [team duty]\nkeys = {}\nweight = 1\nrate = 10\nin_flight = 10\ntop = alarm\nusual = normal\n",
        sign::bearer_digest(KITCHENS_KEY),
        sign::bearer_digest(DUTY_KEY)
    );
    text.parse().unwrap_or_else(|e| panic!("{e}"))
});
