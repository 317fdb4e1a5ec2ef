package wrenreach.lab;

import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A stand-in for discovery and for the platform that takes notices of ended mails, as one node sees them. */
final class Platform implements Network.Listener {
    /** Interval between two blank lines that keep a list stream alive, in nanoseconds. */
    private static final long HEARTBEAT_INTERVAL_NS = 2_000_000_000L;
    private static final Pattern NOTICE = Pattern.compile("\"id\":\"([^\"]+)\",\"status\":\"([^\"]+)\"");

    private final World world;
    private final String node;
    private final Network.Party party;
    private final Supplier<String> list;
    private final List<HttpConnection> listStreams = new ArrayList<>();
    private final ResponseFaults responseFaults;

    /** Listens at the address and at the next port. list: supplies the current endpoint list, whole, in the format of discovery. */
    Platform(World world, String node, InetSocketAddress address, Supplier<String> list) {
        this.world = world;
        this.node = node;
        this.list = list;
        party = new Network.Party("platform-" + node);
        responseFaults = new ResponseFaults(world);
        world.network.listen(address, this);
        world.network.listen(new InetSocketAddress(address.getAddress(), address.getPort() + 1), this);
        sendHeartbeats();
    }

    @Override public Network.Party party() {
        return party;
    }

    private void sendHeartbeats() {
        listStreams.removeIf(stream -> stream.closed);
        listStreams.forEach(stream -> writeChunk(stream, "\n"));
        world.scheduleIn(HEARTBEAT_INTERVAL_NS, this::sendHeartbeats);
    }

    private static void writeChunk(HttpConnection stream, String text) {
        stream.write(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }

    /** Begins a fault of its responses: one in two copies of a notice's answer is timed from the answer, the others from the next post. */
    void begin(Scenario.Fault fault) {
        if (fault.kind() == FaultKind.NOTICE_COPIES) {
            for (FaultKind kind : List.of(FaultKind.COPY_AFTER_RESPONSE, FaultKind.COPY_AFTER_REQUEST)) {
                responseFaults.begin(new Scenario.Fault(kind, fault.target(), fault.figure(), fault.more(), fault.atMs(), null, fault.forMs()));
            }
        } else {
            responseFaults.begin(fault);
        }
    }

    /** Sends the current list on all streams, as it has changed. */
    void listChanged() {
        listStreams.forEach(this::writeList);
    }

    private void writeList(HttpConnection stream) {
        String text = list.get() + "\n";
        writeChunk(stream, text);
        if (responseFaults.strikes(FaultKind.LIST_COPIES)) {
            world.scheduleIn(responseFaults.delay(FaultKind.LIST_COPIES), () -> writeChunk(stream, text));
        }
    }

    @Override public Network.End accepted(Network.Link link, InetSocketAddress from) {
        return new HttpConnection(link) {
            private final ResponseFaults.Connection responses = responseFaults.new Connection(this::write);

            @Override void requestBegins(String head) { }

            @Override void requestReceived(Request request) {
                responses.requestReceived();
                if (request.path().startsWith("/v2/finals") && responseFaults.strikes(FaultKind.NOTICES_REFUSED)) {
                    responses.respond(response("503 Service Unavailable", ""));
                } else if (request.path().startsWith("/v2/finals")) {
                    Matcher notices = NOTICE.matcher(new String(request.body(), StandardCharsets.UTF_8));
                    while (notices.find()) {
                        world.record(new Fact.Noticed(world.now(), notices.group(1), node, notices.group(2)));
                    }
                    responses.respond("HTTP/1.1 204 No Content\r\n\r\n");
                } else if (request.path().contains("stream=1")) {
                    write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
                    writeList(this);
                    listStreams.add(this);
                } else {
                    String text = list.get();
                    write("HTTP/1.1 200 OK\r\nContent-Length: " + text.length() + "\r\n\r\n" + text);
                }
            }
        };
    }
}
