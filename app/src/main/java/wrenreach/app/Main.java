package wrenreach.app;

import io.netty.util.internal.logging.InternalLoggerFactory;
import io.netty.util.internal.logging.JdkLoggerFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import wrenreach.DeliveryDispatcher;
import wrenreach.frame.Command;
import wrenreach.held.HeldMail;
import wrenreach.held.Journal;
import wrenreach.node.Config;
import wrenreach.wirehost.WireHost;

/** Runs a command line. */
public final class Main {
    private static final String USAGE = """
            usage: wrenreach COMMAND [options]
              serve     runs a delivery node: --config FILE (or GW_CONFIG), --state FOLDER (or GW_STATE), and
                        --operator FILE (or WRENREACH_OPERATOR) for what the operator's own file switches on;
                        with --check it starts, says what is wrong if anything, and stops
              rehearse  plays a few mails through a node on loopback, for a class-data archive: options as for serve
              held      prints what a state folder owes: --state FOLDER (or GW_STATE)
              wirehost  hosts delivery nodes on the simulator's wire, from standard input to standard output
              version   prints the version
              help      prints this page
            """;
    private static final Set<String> BUILT_IN_COMMANDS = Set.of("serve", "rehearse", "held", "wirehost", "version", "help");

    private Main() { }

    /** Whether a command line needs the jars of the folder parts: for an operator's file, a command of a subsystem, or help. */
    static boolean needsParts(String[] args, Map<String, String> environment) {
        boolean operatorFile = !environment.getOrDefault("WRENREACH_OPERATOR", "").isEmpty();
        for (String word : args) {
            operatorFile |= word.startsWith("--operator");
        }
        return args.length > 0 && (!BUILT_IN_COMMANDS.contains(args[0]) || args[0].equals("help") || args[0].equals("serve") && operatorFile);
    }

    /** Runs a command line with the environment of the process and returns its exit code. */
    public static int run(String[] args) {
        return run(args, System.getenv());
    }

    static int run(String[] args, Map<String, String> environment) {
        String command = args.length == 0 ? "" : args[0];
        System.getProperties().putIfAbsent("java.util.logging.SimpleFormatter.format",
                "%1$tFT%1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
        InternalLoggerFactory.setDefaultFactory(JdkLoggerFactory.INSTANCE);
        if (!BUILT_IN_COMMANDS.contains(command)) {
            for (Command added : addedCommands()) {
                if (added.name().equals(command)) {
                    return added.run(List.of(args).subList(1, args.length), System.out, System.err);
                }
            }
        }
        try {
            Options known = new Options();
            boolean startsNode = command.equals("serve") || command.equals("rehearse");
            if (startsNode) {
                known.addOption(Option.builder().longOpt("config").hasArg().get());
                known.addOption(Option.builder().longOpt("check").get());
                known.addOption(Option.builder().longOpt("operator").hasArg().get());
            }
            if (startsNode || command.equals("held")) {
                known.addOption(Option.builder().longOpt("state").hasArg().get());
            }
            CommandLine line = new DefaultParser().parse(known, args);
            if (line.getArgList().size() != 1) {
                throw new ParseException(command.isEmpty() ? "no command" : "too many arguments");
            }
            switch (command) {
                case "serve":
                    String operator = line.getOptionValue("operator", environment.get("WRENREACH_OPERATOR"));
                    return new Serve(pathOption(line, "config", environment), operator == null || operator.isEmpty() ? null
                            : Path.of(operator), environment, System.err)
                            .run(pathOption(line, "state", environment), line.hasOption("check"));
                case "rehearse":
                    Path state = pathOption(line, "state", environment);
                    Path file = pathOption(line, "config", environment);
                    // First a start as the platform does it, so that the archive also has the classes of a start; then the mails.
                    int startCode = new Serve(file, null, environment, System.err).run(state.resolve("start"), true);
                    return startCode != 0 ? startCode
                            : Rehearsal.run(Config.read(file, environment), state.resolve("mails"));
                case "held":
                    return printHeld(pathOption(line, "state", environment));
                case "wirehost":
                    return new WireHost(System.in, System.out, System.err, DeliveryDispatcher::new).run();
                case "version":
                    String version = Main.class.getPackage().getImplementationVersion();
                    System.out.println("wrenreach " + (version == null ? "(not packaged)" : version));
                    return 0;
                case "help":
                    System.out.print(USAGE);
                    addedCommands().forEach(added -> added.usage().forEach(use -> System.out.println("  " + use)));
                    return 0;
                default:
                    throw new ParseException("unknown command " + command);
            }
        } catch (ParseException e) {
            System.err.println("wrenreach: " + e.getMessage());
            System.err.print(USAGE);
            return 2;
        } catch (Config.InvalidConfigException | IOException e) {
            System.err.println("wrenreach: " + e.getMessage());
            return 2;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return 1;
        }
    }

    /** Returns the commands beyond the built-in ones. */
    private static List<Command> addedCommands() {
        List<Command> all = new ArrayList<>();
        all.add(new OperatorCommand());
        all.addAll(Parts.commands());
        return all;
    }

    /** Returns the path given by an option, or else by its environment variable GW_OPTION. */
    private static Path pathOption(CommandLine line, String option, Map<String, String> environment) throws ParseException {
        String variable = "GW_" + option.toUpperCase(Locale.ROOT);
        String value = line.getOptionValue(option, environment.get(variable));
        if (value == null || value.isEmpty()) {
            throw new ParseException("neither --" + option + " nor " + variable + " is set");
        }
        return Path.of(value);
    }

    /** Prints the outstanding mails of a state folder and returns the exit code. */
    private static int printHeld(Path state) {
        if (!Files.isDirectory(state)) {
            System.err.println("wrenreach: state folder " + state + " is not there");
            return 1;
        }
        if (Files.isDirectory(state.resolve(Journal.STORE))) {
            System.err.println("wrenreach: what " + state + " owes lies in its store: wrenreach store held " + state);
            return 1;
        }
        try {
            List<HeldMail> outstanding = Journal.read(state);
            outstanding.forEach(mail -> System.out.println(mail.describe()));
            System.out.println(outstanding.size() + " mails owed");
            return 0;
        } catch (IOException e) {
            System.err.println("wrenreach: state folder " + state + " can't be read: " + e);
            return 1;
        }
    }
}
