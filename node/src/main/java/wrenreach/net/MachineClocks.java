package wrenreach.net;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.LongSupplier;

/**
 * The clocks of the machine, and the only place that may read its wall clock: that clock may be stepped, forward or back, while
 * a process runs or between two processes.
 *
 * @param wallMillis milliseconds of the wall clock
 * @param monotonicNanos nanoseconds of a monotonic clock, the same for all processes of a boot
 * @param boot identifies the boot of the machine; empty where it is not known
 */
public record MachineClocks(LongSupplier wallMillis, LongSupplier monotonicNanos, String boot) {
    private static final Path BOOT_ID = Path.of("/proc/sys/kernel/random/boot_id");

    /** The clocks of the machine that this process runs on. */
    public static MachineClocks real() {
        return new MachineClocks(System::currentTimeMillis, System::nanoTime, bootId());
    }

    private static String bootId() {
        try {
            return Files.readString(BOOT_ID).strip();
        } catch (IOException e) {
            return "";
        }
    }
}
