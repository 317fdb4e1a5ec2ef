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
 * What the node says of its lists, kept in a file for staff. Times in milliseconds of the wall's clock, 0: never; texts
 * are empty where there is nothing to say.
 */
record Status(long writtenAt, String fingerprint, String label, int endpointCount, long inForceSince, long acceptedCount,
              String heldFingerprint, String heldLabel, List<String> heldReasons, long heldSince, String fault, long faultSince) {
    static final String FILE_NAME = "status.json";
    private static final JsonFactory JSON = new JsonFactory();

    static Status empty() {
        return new Status(0, "", "", 0, 0, 0, "", "", List.of(), 0, "", 0);
    }

    /** A list is in force: nothing is held back and nothing is wrong any more. */
    Status withInForce(Generation list, long now) {
        return new Status(now, list.fingerprint(), list.label(), list.endpoints().size(), now, acceptedCount + 1, "", "", List.of(),
                0, "", 0);
    }

    /** The list in force was read again. */
    Status withReadable(long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, "", "", List.of(), 0, "", 0);
    }

    Status withHeldBack(Generation list, List<String> why, long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, list.fingerprint(), list.label(), why, now, "", 0);
    }

    Status withFault(String what, long now) {
        return new Status(now, fingerprint, label, endpointCount, inForceSince, acceptedCount, heldFingerprint, heldLabel, heldReasons, heldSince, what,
                fault.isEmpty() ? now : faultSince);
    }

    boolean isHealthy() {
        return heldFingerprint.isEmpty() && fault.isEmpty();
    }

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

    /** What a node wrote last; IOException where there is none or it can't be read. */
    static Status read(Path folder) throws IOException {
        List<String> reasons = new ArrayList<>();
        long writtenAt = 0, since = 0, accepted = 0, heldSince = 0, faultSince = 0;
        int endpoints = 0;
        String print = "", label = "", heldPrint = "", heldLabel = "", fault = "";
        try (JsonParser in = JSON.createParser(Files.readAllBytes(folder.resolve(FILE_NAME)))) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no status");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String name = in.currentName();
                in.nextToken();
                switch (name) {
                    case "written_at" -> writtenAt = in.getLongValue();
                    case "print" -> print = in.getText();
                    case "label" -> label = in.getText();
                    case "endpoints" -> endpoints = in.getIntValue();
                    case "since" -> since = in.getLongValue();
                    case "accepted" -> accepted = in.getLongValue();
                    case "held_print" -> heldPrint = in.getText();
                    case "held_label" -> heldLabel = in.getText();
                    case "held_since" -> heldSince = in.getLongValue();
                    case "held_reasons" -> {
                        while (in.nextToken() != JsonToken.END_ARRAY) {
                            reasons.add(in.getText());
                        }
                    }
                    case "fault" -> fault = in.getText();
                    case "fault_since" -> faultSince = in.getLongValue();
                    default -> in.skipChildren();
                }
            }
        }
        return new Status(writtenAt, print, label, endpoints, since, accepted, heldPrint, heldLabel,
                List.copyOf(reasons), heldSince, fault, faultSince);
    }
}
