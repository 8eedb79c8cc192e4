//! The process clock while the VM is suspended.

use std::{
    cell::Cell,
    time::{Duration, Instant},
};

use sequoiahold::clock::Clock;
use sequoiahold_core::{time::Time, units::Span};

thread_local! {
    static BOOT_TIME: Cell<Duration> = const { Cell::new(Duration::from_secs(100)) };
}

fn clock() -> Clock {
    Clock::new(|| BOOT_TIME.get())
}

fn pass(time: Duration) {
    BOOT_TIME.set(BOOT_TIME.get() + time);
}

/// A version announced before a suspension must not stay in use for as much longer.
#[test]
fn rollout_time_goes_on_while_the_vm_is_suspended() {
    let clock = clock();
    pass(Duration::from_millis(200));
    let announced = clock.now();
    pass(Duration::from_secs(3));
    assert_eq!(clock.now() - announced, Span::secs(3));
    assert!(clock.suspended() > Span::millis(3_100), "{}", clock.suspended());
}

#[actix_rt::test]
async fn wait_does_not_last_longer_by_a_suspension() {
    let clock = clock();
    let started = Instant::now();
    let suspend = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        pass(Duration::from_secs(60));
    };
    let wait = clock.sleep_until(Some(Time(30_000_000)));
    let ((), ()) = futures_util::future::join(suspend, wait).await;
    assert!(started.elapsed() < Duration::from_secs(10), "waited for {:?}", started.elapsed());
}

/// Both clocks go on alike while the VM runs, so this shows only that the right one is read.
#[test]
fn process_clock_counts_from_the_boot_of_the_vm() {
    let uptime = std::fs::read_to_string("/proc/uptime").expect("the time since the boot");
    let uptime: f64 = uptime.split(' ').next().and_then(|text| text.parse().ok()).expect("seconds");
    let boot_time = sequoiahold::clock::boot_time().as_secs_f64();
    assert!((boot_time - uptime).abs() < 5.0, "{boot_time} s for {uptime} s");
}
