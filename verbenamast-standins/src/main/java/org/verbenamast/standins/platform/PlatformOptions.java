package org.verbenamast.standins.platform;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** The options of the platform's stand-in. */
@Parameters(commandDescription = "the platform's table service and object store, in memory")
public final class PlatformOptions {

    @Parameter(names = "--listen", required = true, description = "where to listen, as IP:PORT")
    private String listen;

    String listen() {
        return listen;
    }
}
