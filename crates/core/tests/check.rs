//! Invalid sets of declarations are rejected with the file and the key of each error.

use rstest::rstest;
use sequoiahold_core::{
    declare::{DeclarationError, load::read_set},
    ids::Digest,
};
use serde_json::{Value, json};

/// Returns a valid set, which each case changes in one place.
fn valid_set() -> Vec<(&'static str, Value)> {
    let digest = |text: &str| Digest::of(text.as_bytes()).to_string();
    vec![
        (
            "clients.json",
            json!([
                {"kind": "client", "name": "c1", "key": digest("k1"), "weight": 4, "services": ["llm"]},
                {"kind": "client", "name": "c2", "key": digest("k2"), "weight": 1, "services": ["llm"]},
            ]),
        ),
        (
            "models.json",
            json!([
                {"kind": "model", "name": "m1", "version": "v1"},
                {"kind": "version", "name": "v1", "model": "m1", "manifest": digest("v1"), "size": "8MB"},
                {"kind": "version", "name": "v2", "model": "m1", "manifest": digest("v2"), "size": "8MB"},
                {"kind": "adapter", "name": "a1", "version": "v1", "digest": digest("a1"), "size": "1MB"},
                {"kind": "adapter", "name": "a2", "version": "v1", "digest": digest("a2"), "size": "1MB"},
                {"kind": "model", "name": "m2", "version": "w1"},
                {"kind": "version", "name": "w1", "model": "m2", "manifest": digest("w1"), "size": "8MB"},
            ]),
        ),
        (
            "services.json",
            json!([
                {"kind": "service", "name": "llm", "backend": {"model": "m1"}, "repeatable": true, "timeout": "30s"},
                {"kind": "service", "name": "plain", "backend": "plain", "repeatable": false, "timeout": "10s"},
                {"kind": "pool", "name": "llm", "service": "llm", "slots": 8, "cold": 2, "step": "40%"},
                {"kind": "pool", "name": "plain", "service": "plain", "slots": 8, "cold": 8},
            ]),
        ),
        (
            "vms.json",
            json!([
                {"kind": "vm", "name": "e1", "zone": "z1", "role": "entry", "addr": "10.0.0.1:7400"},
                {"kind": "vm", "name": "e2", "zone": "z2", "role": "entry", "addr": "10.0.1.1:7400"},
                {"kind": "vm", "name": "w1", "zone": "z1", "role": {"endpoint": "llm"}, "addr": "10.0.0.2:7400"},
                {"kind": "vm", "name": "w2", "zone": "z2", "role": {"endpoint": "llm"}, "addr": "10.0.1.2:7400"},
                {"kind": "vm", "name": "p1", "zone": "z1", "role": {"endpoint": "plain"}, "addr": "10.0.0.3:7400"},
            ]),
        ),
        (
            "zones.json",
            json!([
                {"kind": "zone", "name": "z1", "region": "r1", "link": "2500KB/s"},
                {"kind": "zone", "name": "z2", "region": "r2", "link": "2500KB/s"},
            ]),
        ),
    ]
}

fn validation_errors(set: &[(&str, Value)]) -> Vec<DeclarationError> {
    let texts: Vec<_> = set.iter().map(|(file, value)| (*file, value.to_string())).collect();
    let errors = read_set(texts.iter().map(|(file, text)| (*file, text.as_str())));
    errors.err().unwrap_or_default()
}

/// Sets the value at `path`, such as `vms.json/0/zone`; `null` removes it.
fn set_value(set: &mut [(&str, Value)], path: &str, value: Value) {
    let (file, pointer) = path.split_once('/').expect("a path has a file and a key");
    let document =
        &mut set.iter_mut().find(|(name, _)| *name == file).expect("a file of the set").1;
    let (parent, key) =
        pointer.rsplit_once('/').map_or((String::new(), pointer), |(p, k)| (format!("/{p}"), k));
    match document.pointer_mut(&parent).expect("a path in the set") {
        Value::Array(items) if value.is_null() => {
            drop(items.remove(key.parse().expect("an index")))
        }
        Value::Array(items) => items[key.parse::<usize>().expect("an index")] = value,
        Value::Object(map) if value.is_null() => drop(map.remove(key)),
        Value::Object(map) => drop(map.insert(key.to_owned(), value)),
        _ => panic!("{path} is not in an array or object"),
    }
}

#[test]
fn base_set_is_valid() {
    assert_eq!(validation_errors(&valid_set()), []);
}

#[rstest]
#[case::unknown_kind("zones.json/0/kind", json!("cell"), "zones.json: [0].kind: \"cell\" is not one of zone")]
#[case::missing_kind("zones.json/0/kind", json!(null), "zones.json: [0].kind: is missing")]
#[case::kind_of_wrong_type("zones.json/0/kind", json!(3), "zones.json: [0].kind: must be one of")]
#[case::not_an_object("zones.json/0", json!(3), "zones.json: [0]: not a JSON object")]
#[case::unknown_key("zones.json/0/links", json!(1), "zones.json: [0].links: unknown field")]
#[case::missing_key("zones.json/0/link", json!(null), "zones.json: [0].link: missing field")]
#[case::bad_name("zones.json/0/name", json!("Z 1"), "zones.json: [0].name: \"Z 1\" is not a name")]
#[case::long_name("vms.json/0/name", json!("e".repeat(64)), "vms.json: [0].name: ")]
#[case::bad_rate("zones.json/0/link", json!("fast"), "zones.json: [0].link: \"fast\" is not a rate")]
#[case::zero_rate("zones.json/0/link", json!("0B/s"), "zones.json: [0].link: 0B/s is not between")]
#[case::out_of_wrong_type("zones.json/0/out", json!("yes"), "zones.json: [0].out: invalid type")]
#[case::zone_twice("zones.json/1/name", json!("z1"), "zones.json: [1].name: zone \"z1\" is declared twice")]
#[case::pool_service("services.json/2/service", json!("none"), "services.json: [2].service: service \"none\" is not declared")]
#[case::zero_slots("services.json/2/slots", json!(0), "services.json: [2].slots: 0 is not between 1 and 4096")]
#[case::too_many_slots("services.json/2/slots", json!(5000), "services.json: [2].slots: 5000 is not between")]
#[case::negative_slots("services.json/2/slots", json!(-1), "services.json: [2].slots: invalid value")]
#[case::cold_above_slots("services.json/2/cold", json!(9), "services.json: [2].cold: 9 is not between 1 and 8")]
#[case::zero_cold("services.json/2/cold", json!(0), "services.json: [2].cold: 0 is not between 1 and 8")]
#[case::zero_step("services.json/2/step", json!("0%"), "services.json: [2].step: 0.0% is not between")]
#[case::step_above_100_percent("services.json/2/step", json!("101%"), "services.json: [2].step: \"101%\" is not a share")]
#[case::service_without_pool("services.json/3", json!(null), "services.json: [1].name: no pool serves the service")]
#[case::service_model("services.json/0/backend/model", json!("none"), "services.json: [0].backend.model: model \"none\" is not declared")]
#[case::service_backend("services.json/0/backend", json!("cgi"), "services.json: [0].backend: unknown variant `cgi`")]
#[case::zero_timeout("services.json/0/timeout", json!("0s"), "services.json: [0].timeout: 0us is not between 100ms and 3600s")]
#[case::bad_timeout("services.json/0/timeout", json!(30), "services.json: [0].timeout: invalid type")]
#[case::model_version("models.json/0/version", json!("none"), "models.json: [0].version: version \"none\" is not declared")]
#[case::version_of_another_model("models.json/0/version", json!("w1"), "models.json: [0].version: version \"w1\" belongs to model \"m2\"")]
#[case::version_model("models.json/1/model", json!("none"), "models.json: [1].model: model \"none\" is not declared")]
#[case::bad_digest("models.json/1/manifest", json!("abc"), "models.json: [1].manifest: \"abc\" is not a digest")]
#[case::manifest_twice("models.json/1/manifest", json!(Digest::of(b"v2").to_string()), "models.json: [2].manifest: is the manifest of version \"v1\" too")]
#[case::zero_size("models.json/1/size", json!("0B"), "models.json: [1].size: 0B is not between")]
#[case::too_many_chunks("models.json/1/size", json!("401GB"), "models.json: [1].size: 401GB is not between 1B and 400GB")]
#[case::adapter_version("models.json/3/version", json!("none"), "models.json: [3].version: version \"none\" is not declared")]
#[case::zero_adapter_size("models.json/3/size", json!("0B"), "models.json: [3].size: 0B is not between")]
#[case::adapter_above_weights("models.json/3/size", json!("9MB"), "models.json: [3].size: 9MB is above the 8MB of version \"v1\"")]
#[case::adapter_twice("models.json/4/digest", json!(Digest::of(b"a1").to_string()), "models.json: [4].digest: is the digest of adapter \"a1\" too")]
#[case::api_key_twice("clients.json/1/key", json!(Digest::of(b"k1").to_string()), "clients.json: [1].key: is the key of client \"c1\" too")]
#[case::empty_api_key("clients.json/0/key", json!(Digest::of(b"").to_string()), "clients.json: [0].key: is the digest of an empty API key")]
#[case::zero_weight("clients.json/0/weight", json!(0), "clients.json: [0].weight: 0 is not between 1 and 1000")]
#[case::client_service("clients.json/0/services/0", json!("none"), "clients.json: [0].services[0]: service \"none\" is not declared")]
#[case::client_services_twice("clients.json/0/services", json!(["llm", "llm"]), "clients.json: [0].services[1]: service \"llm\" is named twice")]
#[case::client_without_services("clients.json/0/services", json!([]), "clients.json: [0].services: must name at least one")]
#[case::client_above_value_size("clients.json/0/services", json!(vec!["llm"; 170_000]), "clients.json: [0].name: takes 1020")]
#[case::vm_zone("vms.json/0/zone", json!("none"), "vms.json: [0].zone: zone \"none\" is not declared")]
#[case::vm_pool("vms.json/2/role/endpoint", json!("none"), "vms.json: [2].role.endpoint: pool \"none\" is not declared")]
#[case::vm_role("vms.json/0/role", json!("router"), "vms.json: [0].role: unknown variant `router`")]
#[case::address_twice("vms.json/1/addr", json!("10.0.0.1:7400"), "vms.json: [1].addr: is the addr of vm \"e1\" too")]
#[case::address_without_port("vms.json/0/addr", json!("10.0.0.1:0"), "vms.json: [0].addr: must be the IP number")]
#[case::unspecified_address("vms.json/0/addr", json!("0.0.0.0:7400"), "vms.json: [0].addr: must be the IP number")]
#[case::address_with_host_name("vms.json/0/addr", json!("vm.example:7400"), "vms.json: [0].addr: invalid socket address")]
#[case::zone_without_entry("vms.json/1", json!(null), "zones.json: [1].name: the zone takes work but has no entry VM")]
#[case::zone_without_endpoint("vms.json/3", json!(null), "zones.json: [1].name: the zone takes work but has no endpoint VM")]
#[case::pool_without_endpoint("vms.json/4", json!(null), "services.json: [3].name: the pool has no endpoint VM")]
fn invalid_set_is_rejected(#[case] path: &str, #[case] value: Value, #[case] expected: &str) {
    let mut set = valid_set();
    set_value(&mut set, path, value);
    let errors: Vec<String> = validation_errors(&set).iter().map(ToString::to_string).collect();
    assert!(
        errors.iter().any(|text| text.starts_with(expected)),
        "{expected:?} is not in {errors:#?}"
    );
}

#[test]
fn all_zones_out_is_rejected() {
    let mut set = valid_set();
    set_value(&mut set, "zones.json/0/out", json!(true));
    assert_eq!(validation_errors(&set), []);
    set_value(&mut set, "zones.json/1/out", json!(true));
    let paths: Vec<_> = validation_errors(&set).into_iter().map(|error| error.key).collect();
    assert_eq!(paths, ["[0].out", "[1].out"]);
}

#[test]
fn zone_that_is_out_needs_no_vms() {
    let mut set = valid_set();
    set_value(&mut set, "zones.json/1/out", json!(true));
    set_value(&mut set, "vms.json/3", json!(null));
    set_value(&mut set, "vms.json/1", json!(null));
    assert_eq!(validation_errors(&set), []);
}

#[test]
fn errors_of_all_files_are_reported_together() {
    let mut set = valid_set();
    set_value(&mut set, "zones.json/0/link", json!("0B/s"));
    set_value(&mut set, "vms.json/4/zone", json!("none"));
    set_value(&mut set, "models.json/1/size", json!("0B"));
    set_value(&mut set, "clients.json/0/colour", json!("red"));
    let paths: Vec<_> =
        validation_errors(&set).into_iter().map(|e| format!("{} {}", e.file, e.key)).collect();
    let expected = [
        "clients.json [0].colour",
        "models.json [1].size",
        "vms.json [4].zone",
        "zones.json [0].link",
    ];
    for path in expected {
        assert!(paths.iter().any(|p| p == path), "{path} is not in {paths:?}");
    }
}

#[test]
fn empty_or_truncated_set_is_rejected() {
    assert_eq!(validation_errors(&[])[0].to_string(), ".: []: no availability zone is declared");
    let cut = read_set([("zones.json", "[{\"kind\": \"zone\",")]).expect_err("truncated file");
    assert_eq!((cut[0].file.as_str(), cut[0].key.as_str()), ("zones.json", "line 1"));
}

#[test]
fn duplicate_json_key_is_rejected() {
    let text = r#"[{"kind": "zone", "name": "z1", "region": "r", "link": "1MB/s", "out": true, "out": false}]"#;
    let errors = read_set([("zones.json", text)]).expect_err("duplicate key");
    let errors: Vec<_> = errors.iter().map(ToString::to_string).collect();
    assert!(errors[0].contains("key \"out\" is given twice"), "{errors:?}");
}
