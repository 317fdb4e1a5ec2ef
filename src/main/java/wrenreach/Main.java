package wrenreach;

import wrenreach.wirehost.WireHost;

/** The command line. */
public final class Main {
    private Main() { }

    public static void main(String[] args) {
        if (args.length != 1 || !args[0].equals("wirehost")) {
            System.err.println("usage: java -jar wrenreach.jar wirehost");
            System.exit(2);
        }
        System.exit(new WireHost(System.in, System.out, System.err, Choice::new).run());
    }
}
