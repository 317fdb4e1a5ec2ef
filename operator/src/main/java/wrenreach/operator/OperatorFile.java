package wrenreach.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The operator's file: one table for each subsystem, which is enabled where its table is present and does not say on = false. A file is
 * read as a whole or rejected, with all of its problems reported at once.
 */
public final class OperatorFile {
    /** The file can't be used; carries all of its problems. */
    public static final class InvalidFileException extends Exception {
        private static final long serialVersionUID = 1;
        private final transient List<FileProblem> faults;

        InvalidFileException(Path file, List<FileProblem> faults) {
            super(String.join(System.lineSeparator(), faults.stream().map(fault -> fault.format(file)).toList()));
            this.faults = List.copyOf(faults);
        }

        /** All problems, in the order of their lines. */
        public List<FileProblem> faults() {
            return faults;
        }
    }

    /** One value in force; origin is "default" or FILE:LINE. */
    public record EffectiveValue(String key, String value, String origin, String about) { }

    /** One key whose value differs between two files; live where the change takes effect without a restart. */
    public record Change(String key, String before, String after, boolean live) { }

    /** The key of every section that switches it on or off. */
    private static final String ENABLED_KEY = "on";
    /** Larger files are rejected unread. */
    private static final int MAX_FILE_BYTES = 1 << 20;

    private final Path file;
    private final Map<String, Section<?>> knownSections;
    private final Map<String, Record> enabledSections = new LinkedHashMap<>();
    /** The line of each key that the file gives, by path; other keys have their defaults. */
    private final Map<String, Integer> keyLines = new TreeMap<>();

    private OperatorFile(Path file, Map<String, Section<?>> knownSections) {
        this.file = file;
        this.knownSections = knownSections;
    }

    /** Stands for a missing file: no section is enabled. */
    public static OperatorFile none() {
        return new OperatorFile(Path.of(""), Map.of());
    }

    /** Reads a file and checks it against all sections that exist. */
    public static OperatorFile read(Path file, Collection<Section<?>> sections) throws InvalidFileException {
        try {
            if (Files.size(file) > MAX_FILE_BYTES) {
                throw new IOException("larger than " + Unit.SIZE.format(MAX_FILE_BYTES));
            }
            return parse(file, Files.readAllBytes(file), sections);
        } catch (IOException e) {
            throw new InvalidFileException(file, List.of(new FileProblem(0, "", e instanceof NoSuchFileException ? "no such file"
                    : "can't be read: " + e.getMessage())));
        }
    }

    /** Parses the bytes of a file and checks them against all sections; the path only serves for messages. */
    public static OperatorFile parse(Path file, byte[] bytes, Collection<Section<?>> sections) throws InvalidFileException {
        List<FileProblem> faults = new ArrayList<>();
        Map<String, Section<?>> known = new LinkedHashMap<>();
        sections.forEach(section -> known.put(section.name(), section));
        OperatorFile read = new OperatorFile(file, known);
        try {
            String text = StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes)).toString();
            JsonNode tree = new TomlMapper().readTree(text);
            read.load(tree, new TomlLineIndex(text), faults);
        } catch (CharacterCodingException e) {
            faults.add(new FileProblem(0, "", "is not UTF-8"));
        } catch (JsonProcessingException e) {
            int line = e.getLocation() == null ? 0 : e.getLocation().getLineNr();
            faults.add(new FileProblem(Math.max(0, line), "", "can't be read as TOML: " + e.getOriginalMessage()));
        }
        if (!faults.isEmpty()) {
            faults.sort((a, b) -> Integer.compare(a.line(), b.line()));
            throw new InvalidFileException(file, faults);
        }
        return read;
    }

    private void load(JsonNode tree, TomlLineIndex lineIndex, List<FileProblem> faults) {
        tree.fields().forEachRemaining(table -> {
            String name = table.getKey();
            Section<?> section = knownSections.get(name);
            if (section == null) {
                faults.add(new FileProblem(lineIndex.lineOf(name), name, "is not known" + NameSuggestion.hint(name, knownSections.keySet())));
            } else if (!table.getValue().isObject()) {
                faults.add(new FileProblem(lineIndex.lineOf(name), name, "is a table: [" + name + "]"));
            } else {
                load(section, table.getValue(), lineIndex, faults);
            }
        });
    }

    private void load(Section<?> section, JsonNode table, TomlLineIndex lineIndex, List<FileProblem> faults) {
        List<String> names = new ArrayList<>(section.entries().stream().map(Section.Entry::name).toList());
        names.add(ENABLED_KEY);
        table.fieldNames().forEachRemaining(key -> {
            String path = section.name() + "." + key;
            keyLines.put(path, lineIndex.lineOf(path));
            if (!names.contains(key)) {
                faults.add(new FileProblem(lineIndex.lineOf(path), path, "is not known" + NameSuggestion.hint(key, names)));
            }
        });
        JsonNode on = table.get(ENABLED_KEY);
        if (on != null && !on.isBoolean()) {
            String path = section.name() + "." + ENABLED_KEY;
            faults.add(new FileProblem(lineIndex.lineOf(path), path, "is true or false, not " + on));
        }
        Record record = section.read(table, fault -> {
            String path = section.name() + (fault.key().isEmpty() ? "" : "." + fault.key());
            faults.add(new FileProblem(lineIndex.lineOf(path), path, fault.problem()));
        });
        if (record != null && (on == null || on.booleanValue())) {
            this.enabledSections.put(section.name(), record);
        }
    }

    /** Returns a section where it is enabled. */
    public <S extends Record> Optional<S> section(Section<S> section) {
        return Optional.ofNullable(enabledSections.get(section.name())).map(section.type()::cast);
    }

    /** Returns every value in force, section by section, without sections that are disabled. */
    public List<EffectiveValue> effectiveValues() {
        List<EffectiveValue> all = new ArrayList<>();
        enabledSections.forEach((name, record) -> {
            Section<?> section = knownSections.get(name);
            for (Section.Entry entry : section.entries()) {
                String path = name + "." + entry.name();
                Integer line = keyLines.get(path);
                all.add(new EffectiveValue(path, section.formattedValue(record, entry), line == null ? "default" : file + ":" + line,
                        entry.key().about()));
            }
        });
        return all;
    }

    /** Returns what differs in a newer file; a section that was enabled or disabled is one change, with its name as the key. */
    public List<Change> changes(OperatorFile newer) {
        List<Change> all = new ArrayList<>();
        Map<String, Section<?>> sections = new LinkedHashMap<>(knownSections);
        sections.putAll(newer.knownSections);
        for (Section<?> section : sections.values()) {
            Record before = enabledSections.get(section.name());
            Record after = newer.enabledSections.get(section.name());
            if (before == null || after == null) {
                if (before != after) {
                    all.add(new Change(section.name(), before == null ? "off" : "on", after == null ? "off" : "on", false));
                }
                continue;
            }
            for (Section.Entry entry : section.entries()) {
                String oldValue = section.formattedValue(before, entry);
                String newValue = section.formattedValue(after, entry);
                if (!oldValue.equals(newValue)) {
                    all.add(new Change(section.name() + "." + entry.name(), oldValue, newValue, entry.key().live()));
                }
            }
        }
        return all;
    }
}
