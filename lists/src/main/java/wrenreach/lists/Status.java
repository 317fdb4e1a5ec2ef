package wrenreach.lists;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * The state of a node's lists, written to a file for operators. Times are in milliseconds since the epoch, by the wall clock;
 * 0: never. Texts are empty where there is nothing to report.
 */
record Status(long writtenAt, String fingerprint, String label, int endpointCount, long inForceSince, long acceptedCount,
              String heldFingerprint, String heldLabel, List<String> heldReasons, long heldSince, String fault, long faultSince) {
    static final String FILE_NAME = "status.json";
    private static final JsonFactory JSON = new JsonFactory();

    static Status empty() {
        return new Status(0, "", "", 0, 0, 0, "", "", List.of(), 0, "", 0);
    }

    /** A new list is in force: no list is held back and no fault is open any more. */
    Status withInForce(Generation list, long now) {
        return new Status(now, list.fingerprint(), list.label(), list.endpoints().size(), now, acceptedCount + 1, "", "", List.of(),
                0, "", 0);
    }

    /** The files hold the list in force again: no list is held back and no fault is open any more. */
    Status withReadable(long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, "", "", List.of(), 0, "", 0);
    }

    Status withHeldBack(Generation list, List<String> heldReasons, long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, list.fingerprint(), list.label(), heldReasons, now, "", 0);
    }

    Status withFault(String newFault, long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, heldFingerprint, heldLabel, heldReasons, heldSince, newFault,
                fault.isEmpty() ? now : faultSince);
    }

    /** Whether no list is held back and no fault is open. */
    boolean isHealthy() {
        return heldFingerprint.isEmpty() && fault.isEmpty();
    }

    /** Replaces the file in the folder atomically. */
    void write(Path folder) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try (JsonGenerator json = JSON.createGenerator(out)) {
            json.useDefaultPrettyPrinter();
            json.writeStartObject();
            json.writeNumberField("written_at", writtenAt);
            json.writeStringField("print", fingerprint);
            json.writeStringField("label", label);
            json.writeNumberField("endpoints", endpointCount);
            json.writeNumberField("since", inForceSince);
            json.writeNumberField("accepted", acceptedCount);
            json.writeStringField("held_print", heldFingerprint);
            json.writeStringField("held_label", heldLabel);
            json.writeNumberField("held_since", heldSince);
            json.writeArrayFieldStart("held_reasons");
            for (String reason : heldReasons) {
                json.writeString(reason);
            }
            json.writeEndArray();
            json.writeStringField("fault", fault);
            json.writeNumberField("fault_since", faultSince);
            json.writeEndObject();
            json.writeRaw('\n');
        }
        ListFiles.replaceAtomically(folder.resolve(FILE_NAME), out.toByteArray());
    }

    /** Reads what a node wrote last; IOException where there is no file or it can't be read. Unknown fields are skipped. */
    static Status read(Path folder) throws IOException {
        List<String> heldReasons = new ArrayList<>();
        long writtenAt = 0, inForceSince = 0, acceptedCount = 0, heldSince = 0, faultSince = 0;
        int endpointCount = 0;
        String fingerprint = "", label = "", heldFingerprint = "", heldLabel = "", fault = "";
        try (JsonParser in = JSON.createParser(Files.readAllBytes(folder.resolve(FILE_NAME)))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no status");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "written_at" -> writtenAt = in.getLongValue();
                    case "print" -> fingerprint = in.getText();
                    case "label" -> label = in.getText();
                    case "endpoints" -> endpointCount = in.getIntValue();
                    case "since" -> inForceSince = in.getLongValue();
                    case "accepted" -> acceptedCount = in.getLongValue();
                    case "held_print" -> heldFingerprint = in.getText();
                    case "held_label" -> heldLabel = in.getText();
                    case "held_since" -> heldSince = in.getLongValue();
                    case "held_reasons" -> {
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            heldReasons.add(in.getText());
                        }
                    }
                    case "fault" -> fault = in.getText();
                    case "fault_since" -> faultSince = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
        }
        return new Status(writtenAt, fingerprint, label, endpointCount, inForceSince, acceptedCount, heldFingerprint, heldLabel,
                List.copyOf(heldReasons), heldSince, fault, faultSince);
    }
}
