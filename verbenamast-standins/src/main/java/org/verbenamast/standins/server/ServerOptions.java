package org.verbenamast.standins.server;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** The options of a backend server's stand-in. */
@Parameters(commandDescription = "a backend server")
public final class ServerOptions {

    @Parameter(names = "--listen", required = true, description = "where to listen, as IP:PORT")
    private String listen;

    @Parameter(
            names = "--node",
            required = true,
            description = "the operator address of the node beside it, as IP:PORT")
    private String node;

    @Parameter(names = "--service", required = true, description = "the service's name")
    private String service;

    @Parameter(names = "--zone", description = "the availability zone, for the record")
    private String zone = "";

    @Parameter(names = "--slots", description = "how many requests it runs at once")
    private int slots = 10;

    @Parameter(names = "--service-millis", description = "how long a request takes, in milliseconds")
    private int serviceMillis = 2;

    @Parameter(names = "--unfenced", description = "do not check epochs")
    private boolean unfenced;

    @Parameter(names = "--cold-slots", description = "how many requests it can bear while cold; 0 for all")
    private int coldSlots;

    @Parameter(names = "--warm-after", description = "how many requests make it warm")
    private int warmAfter = 100;

    @Parameter(names = "--record", description = "append each run to this file, as JSON lines")
    private String record = "";

    String listen() {
        return listen;
    }

    String node() {
        return node;
    }

    String service() {
        return service;
    }

    String zone() {
        return zone;
    }

    int slots() {
        return slots;
    }

    int serviceMillis() {
        return serviceMillis;
    }

    boolean fenced() {
        return !unfenced;
    }

    int coldSlots() {
        return coldSlots;
    }

    int warmAfter() {
        return warmAfter;
    }

    String record() {
        return record;
    }
}
