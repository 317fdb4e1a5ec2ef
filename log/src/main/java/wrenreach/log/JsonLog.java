package wrenreach.log;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.classic.spi.IThrowableProxy;
import ch.qos.logback.classic.spi.ThrowableProxyUtil;
import ch.qos.logback.classic.util.LogbackMDCAdapter;
import ch.qos.logback.core.LayoutBase;
import ch.qos.logback.core.OutputStreamAppender;
import ch.qos.logback.core.encoder.LayoutWrappingEncoder;
import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.StringWriter;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import java.util.logging.SimpleFormatter;
import org.slf4j.event.KeyValuePair;

/**
 * Structured logs: one JSON object a line with time, level, event, node and the event's own fields. System.Logger passes records to the JDK's
 * root logger; this class replaces the root logger's handlers and forwards the records to Logback, which writes them on a thread of its own
 * from a queue of fixed length. So a stalled reader of the log costs lines, which are counted, and never blocks the event loop. Nothing of
 * Logback is loaded before {@link #start}.
 */
public final class JsonLog implements AutoCloseable {
    /** Records that wait to be written. */
    private static final int QUEUE_LENGTH = 1024;
    /** How long writing the queued lines may take on close, in milliseconds. */
    private static final int FLUSH_TIMEOUT_MS = 500;
    /** Names of JSON fields. */
    private static final String NODE_FIELD = "node", EVENT_FIELD = "event", MESSAGE_FIELD = "message";
    private static final JsonFactory JSON = new JsonFactory();

    private final Logger root = LogManager.getLogManager().getLogger("");
    private final Handler[] previousHandlers = root.getHandlers();
    private final LoggerContext context = new LoggerContext();
    private final AsyncAppender queue = new AsyncAppender();
    private final String node;
    /** Lines lost because the queue was full. */
    private long dropped;
    /** How many of the lost lines have been reported in the log. */
    private long reportedDropped;

    private JsonLog(String node, OutputStream out) {
        this.node = node;
        JsonLayout layout = new JsonLayout();
        LayoutWrappingEncoder<ILoggingEvent> encoder = new LayoutWrappingEncoder<>();
        encoder.setCharset(StandardCharsets.UTF_8);
        encoder.setLayout(layout);
        OutputStreamAppender<ILoggingEvent> writer = new OutputStreamAppender<>();
        writer.setEncoder(encoder);
        queue.setQueueSize(QUEUE_LENGTH);
        queue.setDiscardingThreshold(0);
        queue.setNeverBlock(true);
        queue.setMaxFlushTime(FLUSH_TIMEOUT_MS);
        queue.setName("log");
        layout.setContext(context);
        encoder.setContext(context);
        writer.setContext(context);
        queue.setContext(context);
        context.setMDCAdapter(new LogbackMDCAdapter());
        context.start();
        layout.start();
        encoder.start();
        writer.setOutputStream(out);
        writer.start();
        queue.addAppender(writer);
        queue.start();
        ch.qos.logback.classic.Logger logbackRoot = context.getLogger(ch.qos.logback.classic.Logger.ROOT_LOGGER_NAME);
        logbackRoot.setLevel(ch.qos.logback.classic.Level.ALL);
        logbackRoot.addAppender(queue);
        for (Handler handler : previousHandlers) {
            root.removeHandler(handler);
        }
        root.addHandler(new BridgeHandler());
    }

    /** From now on every log line of this process is a JSON object on out, with the node's name in it. */
    public static JsonLog start(String node, OutputStream out) {
        return new JsonLog(node, out);
    }

    /** Lines lost because the queue was full. */
    public synchronized long dropped() {
        return dropped;
    }

    /** Writes what is queued, for half a second at most, and restores the previous handlers. */
    @Override public void close() {
        for (Handler handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        for (Handler handler : previousHandlers) {
            root.addHandler(handler);
        }
        context.stop();
    }

    /** Converts the JDK's log records to events of SLF4J. */
    private final class BridgeHandler extends Handler {
        private final SimpleFormatter formatter = new SimpleFormatter();

        @Override public void publish(LogRecord record) {
            if (!isLoggable(record)) {
                return;
            }
            String name = record.getLoggerName();
            ch.qos.logback.classic.Logger log = context.getLogger(name == null ? "" : name);
            synchronized (JsonLog.this) {
                if (queue.getRemainingCapacity() == 0) {
                    dropped++;
                    return;
                }
                if (reportedDropped < dropped) {
                    log.atWarn().addKeyValue(EVENT_FIELD, "log.dropped").addKeyValue("lines", dropped - reportedDropped)
                            .log("log: lines were lost, the reader of the log stood still");
                    reportedDropped = dropped;
                }
            }
            var event = log.atLevel(level(record.getLevel())).setCause(record.getThrown());
            Object[] parameters = record.getParameters();
            if (parameters != null && parameters.length == 1 && parameters[0] instanceof LogEvent logEvent) {
                event = event.addKeyValue(EVENT_FIELD, logEvent.name());
                for (Map.Entry<String, Object> field : logEvent.fields().entrySet()) {
                    event = event.addKeyValue(field.getKey(), field.getValue());
                }
                event.log(logEvent.toString());
            } else {
                event.addKeyValue(EVENT_FIELD, "line").log(formatter.formatMessage(record));
            }
        }

        private static org.slf4j.event.Level level(Level level) {
            int value = level.intValue();
            return value >= Level.SEVERE.intValue() ? org.slf4j.event.Level.ERROR
                    : value >= Level.WARNING.intValue() ? org.slf4j.event.Level.WARN
                    : value >= Level.INFO.intValue() ? org.slf4j.event.Level.INFO : org.slf4j.event.Level.DEBUG;
        }

        @Override public void flush() { }

        @Override public void close() { }
    }

    /** Writes one event as one line. */
    private final class JsonLayout extends LayoutBase<ILoggingEvent> {
        @Override public String doLayout(ILoggingEvent event) {
            StringWriter line = new StringWriter();
            try (JsonGenerator out = JSON.createGenerator(line)) {
                out.writeStartObject();
                out.writeStringField("time", Instant.ofEpochMilli(event.getTimeStamp()).toString());
                out.writeStringField("level", event.getLevel().toString());
                out.writeStringField(NODE_FIELD, node);
                out.writeStringField("logger", event.getLoggerName());
                List<KeyValuePair> pairs = event.getKeyValuePairs();
                for (KeyValuePair pair : pairs == null ? List.<KeyValuePair>of() : pairs) {
                    out.writeFieldName(pair.key);
                    if (pair.value instanceof Integer || pair.value instanceof Long) {
                        out.writeNumber(((Number) pair.value).longValue());
                    } else if (pair.value instanceof Number number) {
                        out.writeNumber(number.doubleValue());
                    } else if (pair.value instanceof Boolean flag) {
                        out.writeBoolean(flag);
                    } else {
                        out.writeString(String.valueOf(pair.value));
                    }
                }
                out.writeStringField(MESSAGE_FIELD, event.getFormattedMessage());
                IThrowableProxy thrown = event.getThrowableProxy();
                if (thrown != null) {
                    out.writeStringField("thrown", ThrowableProxyUtil.asString(thrown));
                }
                out.writeEndObject();
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
            return line.append('\n').toString();
        }
    }
}
