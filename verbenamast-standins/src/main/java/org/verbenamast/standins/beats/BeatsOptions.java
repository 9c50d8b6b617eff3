package org.verbenamast.standins.beats;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** The command line of the stand-in for a backend server that sends heartbeats. */
@Parameters(commandDescription = "stand in for a backend server that sends heartbeats and holds keys")
public final class BeatsOptions {

    @Parameter(names = "--listen", required = true, description = "IP number and port to listen at")
    private String listen;

    @Parameter(names = "--heartbeats", required = true, description = "IP number and port that heartbeats go to")
    private String heartbeats;

    @Parameter(names = "--service", required = true, description = "the server's service")
    private String service;

    @Parameter(names = "--id", required = true, description = "the server's id")
    private String id;

    @Parameter(names = "--work-millis", description = "how long a request takes, in milliseconds")
    private int workMillis = 5;

    @Parameter(names = "--record", description = "append each run to this file, as JSON lines")
    private String record = "";

    String listen() {
        return listen;
    }

    String heartbeats() {
        return heartbeats;
    }

    String service() {
        return service;
    }

    String id() {
        return id;
    }

    int workMillis() {
        return workMillis;
    }

    String record() {
        return record;
    }
}
