//! The table, the raw figures and the charts.

use super::plan::Figures;

/// Prints the head of the table.
pub fn head() {
    println!(
        "scheme | case | VMs | zones | s | bounds | origin | region in | region out | upload | download | moved | control KB/s | unfinished | wrong"
    );
}

/// Prints one run.
pub fn row(f: &Figures) {
    println!(
        "{} | {} | {} | {} | {:.1} | {:.2} | {:.3} | {:.3} | {:.3} | {:.2} | {:.2} | {:.3} | {:.1} | {} | {}",
        f.scheme,
        f.case,
        f.vms,
        f.zones,
        f.seconds,
        f.bounds,
        f.origin,
        f.region_in,
        f.region_out,
        f.upload,
        f.download,
        f.moved,
        f.control,
        f.unfinished,
        f.wrong
    );
}
