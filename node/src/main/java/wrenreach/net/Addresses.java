package wrenreach.net;

import io.netty.util.NetUtil;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;

/** Conversion of addresses to and from the form used by the config and discovery. Hosts are numeric: there is no name service. */
public final class Addresses {
    private Addresses() { }

    /** The address as host:port. */
    public static String format(InetSocketAddress address) {
        return NetUtil.toSocketAddressString(address);
    }

    /** Parses host:port; throws IllegalArgumentException where it is malformed. */
    public static InetSocketAddress parse(String text) {
        int colon = text.lastIndexOf(':');
        byte[] host = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        try {
            int port = host == null ? -1 : Integer.parseInt(text.substring(colon + 1));
            if (port >= 0 && port < 65_536) {
                return new InetSocketAddress(InetAddress.getByAddress(host), port);
            }
        } catch (NumberFormatException | UnknownHostException e) {
            throw new IllegalArgumentException("not an address: " + text, e);
        }
        throw new IllegalArgumentException("not an address: " + text);
    }
}
