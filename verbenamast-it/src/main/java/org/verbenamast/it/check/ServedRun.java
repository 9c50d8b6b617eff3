package org.verbenamast.it.check;

import java.util.Objects;

import org.verbenamast.standins.server.Run;

/**
 * What a backend server recorded of one request that reached it.
 *
 * @param host the host of the backend server
 * @param run the record of the start, or of the refusal
 * @param endMicros when the run ended, or its start where the backend server was killed before, in microseconds
 */
public record ServedRun(String host, Run run, long endMicros) {

    /** Checks that host and run are there. */
    public ServedRun {
        Objects.requireNonNull(host, "host");
        Objects.requireNonNull(run, "run");
    }

    boolean ran() {
        return Run.RAN.equals(run.kind());
    }

    boolean keyed() {
        return run.slice() >= 0;
    }

    boolean overlaps(ServedRun later) {
        return !host.equals(later.host) && endMicros > later.run.startMicros();
    }
}
