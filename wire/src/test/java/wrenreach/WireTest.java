package wrenreach;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.util.HexFormat;
import org.junit.jupiter.api.Test;
import wrenreach.api.Settings;
import wrenreach.api.SettingsText;
import wrenreach.wire.Event;
import wrenreach.wire.FrameReader;
import wrenreach.wire.ReplyWriter;
import wrenreach.wire.WireException;
import wrenreach.wirehost.WireHost;

/** Reads and writes frames of the simulator's protocol, given as hexadecimal text, and runs whole nodes over it. */
class WireTest {
    /** The clock of every batch: 8.41225 s as a little-endian double. */
    private static final String CLOCK_HEX = "508d976e12d32040";
    /** The settings that a node can't start without, and an unknown one. */
    private static final String MINIMAL_SETTINGS = "Tick=0.005\nLimits.MaxOpen=10\nFamilyInfo.MaxCalls=4\nClasses.count=1\n"
            + "Classes.0.Promise=2.5\nClasses.0.Deadline=28\nClasses.0.Effect=token\nUnknown.Key=x\n";

    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static byte[] batch(int count, String... records) {
        String body = String.join("", records).replace(" ", "");
        return hex(CLOCK_HEX + littleEndian(body.length() / 2 + 4) + littleEndian(count) + body);
    }

    private static String littleEndian(int value) {
        return HexFormat.of().toHexDigits(Integer.reverseBytes(value));
    }

    private static Event.Batch read(byte[] bytes) throws IOException {
        return new FrameReader(new ByteArrayInputStream(bytes)).read();
    }

    @Test void readsRequestsTimersAndCancels() throws IOException {
        Event.Batch batch = read(batch(3, "03 0300 c4913a5d07b60000 00006442 0000 640ad2557c3bf091 01"
                + "fa7e6abc7493883f b81e85eb51b8ce3f 00000000", "07 0300 4d000000", "06 0500 192b6f0ef0010300"));
        assertThat(batch.clock()).isEqualTo(8_412_250);
        assertThat(batch.events()).containsExactly(
                new Event.Req(3, 0xb6075d3a91c4L, 57, 0, 0x91f03b7c55d20a64L, 1, 240_000, 0),
                new Event.Ring(3, 77), new Event.Cancelled(5, 0x301f00e6f2b19L));
    }

    @Test void readsOutcomesWithTheirReports() throws IOException {
        Event.Response response = (Event.Response) read(batch(1, "05 0300 c4913a5d07b60000 0000 0a124a07 2b23 02"
                + "8b6ce7fba9f1923f 01 2c010000 02 cdcccc3e0000a03f")).events().get(0);
        assertThat(response.endpoint()).isEqualTo(0x0a124a07232bL);
        assertThat(response.result()).isEqualTo(2);
        assertThat(response.done()).isTrue();
        assertThat(response.detail()).isEqualTo(300);
        assertThat(response.feedback()[1]).isEqualTo(1.25);
    }

    @Test void readsManifestsAndViews() throws IOException {
        Event.Batch batch = read(batch(2, "0b 0000 01000000 3900 0a124a07 2b23 02 01 0000803f 0000000000000000 00",
                "02 0300 02 2900000000000000 0000"));
        Event.Host host = ((Event.Manifest) batch.events().get(0)).hosts().get(0);
        assertThat(host).isEqualTo(new Event.Host(57, 0x0a124a07232bL, 2, 1, 1, 0));
        assertThat(batch.events().get(1)).isEqualTo(new Event.View(3, 2, 41, 0));
    }

    @Test void rejectsMalformedInput() {
        assertThatThrownBy(() -> read(batch(1, "63 0300"))).isInstanceOf(WireException.class)
                .hasMessageContaining("record 0").hasMessageContaining("event code").hasMessageContaining("99");
        assertThatThrownBy(() -> read(batch(1, "06 0500 192b"))).isInstanceOf(WireException.class)
                .hasMessageContaining("cancelled_by_client").hasMessageContaining("expected Call");
        assertThatThrownBy(() -> read(hex(CLOCK_HEX + "ff000000"))).isInstanceOf(WireException.class);
        assertThatThrownBy(() -> read(batch(0, "07 0300 4d000000"))).isInstanceOf(WireException.class);
    }

    @Test void writesActions() throws IOException {
        ReplyWriter reply = new ReplyWriter();
        reply.callOut(3, 0xb6075d3a91c4L, 0x0a124a07232bL, 8_492_250);
        reply.notifyMe(3, 77, 500_000);
        reply.journalLine(5, "two servers known");
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        reply.writeTo(out);
        assertThat(out.toByteArray()).isEqualTo(hex("42000000 03000000 4a0300c4913a5d07b600000a124a072b23"
                + "79e9263108fc2040 4903004d000000000000000000e03f"
                + "42050011 0074776f2073657276657273206b6e6f776e"));
    }

    @Test void readsSettingsAndNamesWhatIsMissing() {
        Settings settings = SettingsText.read(MINIMAL_SETTINGS, 5);
        assertThat(settings.classes().get(0).lifetime()).isEqualTo(28_000_000);
        assertThat(settings.classes().get(0).effect()).isEqualTo(Settings.Effect.TAGGED);
        assertThatThrownBy(() -> SettingsText.read(MINIMAL_SETTINGS.replace("Classes.0.Deadline", "x"), 5))
                .hasMessageContaining("Classes.0.Deadline").hasMessageContaining("missing");
        assertThatThrownBy(() -> SettingsText.read(MINIMAL_SETTINGS.replace("MaxOpen=10", "MaxOpen=ten"), 5))
                .hasMessageContaining("Limits.MaxOpen").hasMessageContaining("unreadable");
    }

    private static String enlist(String conf) {
        return "01 0300 0700000000000000" + littleEndian(conf.length()) + HexFormat.of().formatHex(conf.getBytes());
    }

    /** Runs a host on the frames, checks its exit code and returns its output in hexadecimal, | and its error output. */
    private String runHost(int code, String... frames) {
        ByteArrayOutputStream in = new ByteArrayOutputStream();
        for (String frame : frames) {
            in.writeBytes(hex(frame));
        }
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        WireHost host = new WireHost(new ByteArrayInputStream(in.toByteArray()), new PrintStream(out),
                new PrintStream(err), DeliveryDispatcher::new);
        assertThat(host.run()).isEqualTo(code);
        return HexFormat.of().formatHex(out.toByteArray()) + "|" + err;
    }

    private static String frame(int count, String... records) {
        return HexFormat.of().formatHex(batch(count, records));
    }

    @Test void hostsAnInstanceThatSendsAMail() {
        String reply = runHost(0, frame(3, enlist(MINIMAL_SETTINGS), "0b 0000 01000000 0100 0a124a07 2b23 01 00 0000803f"
                + "0000000000000000 00", "02 0300 02 2900000000000000 0000"),
                frame(1, "03 0300 c4913a5d07b60000 0000803f 0000 0000000000000000 00 0000000000000000"
                + "0000000000003c40 00000000"));
        assertThat(reply).contains("4a0300c4913a5d07b600000a124a072b23").endsWith("|");
    }

    @Test void aReenlistedNodeIgnoresEventsOfItsPredecessor() {
        String reply = runHost(0, frame(1, enlist(MINIMAL_SETTINGS)), frame(5, "03 0300 0100000000000000 0000803f 0000"
                + "0000000000000000 00 0000000000000000 0000000000003c40 00000000", "0a 0300", enlist(MINIMAL_SETTINGS),
                "05 0300 0100000000000000 0000 0a124a07 2b23 00 0000000000000000 01 00000000 00", "07 0300 01000000"));
        assertThat(reply).isEqualTo("04000000000000000400000000000000|");
    }

    @Test void aMissingSettingIsReportedAsAFault() {
        assertThat(runHost(0, frame(1, enlist("Tick=0.005\n")))).contains("450300").contains("setting");
    }

    @Test void anUnknownListNumberEndsTheHost() {
        assertThat(runHost(1, frame(2, enlist(MINIMAL_SETTINGS), "02 0300 01 0100000000000000 0900"))).contains("record 1 (view)")
                .contains("list 9");
    }

    @Test void inputThatEndsInsideAFrameEndsTheHost() {
        assertThat(runHost(1, frame(1, enlist(MINIMAL_SETTINGS)).substring(0, 60))).contains("input ended");
    }
}
