package wrenreach.state;

import java.util.ArrayList;
import java.util.List;

/** A receiver, the endpoints that reach it and the mails that wait for it. */
public final class Destination {
    public final int number;
    public final List<Endpoint> endpoints = new ArrayList<>(4);
    public final List<Route> routes = new ArrayList<>(4);
    public final List<Mail> line = new ArrayList<>();
    public int out;
    public boolean known;
    public boolean busy;

    public Destination(int number) {
        this.number = number;
    }
}
