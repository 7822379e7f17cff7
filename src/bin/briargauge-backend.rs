fn main() -> std::process::ExitCode {
    briargauge::daemon::main::<briargauge::backend::Backend>()
}
