package org.verbenamast.standins.rows;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** The command line of the stand-in for the store of rows. */
@Parameters(commandDescription = "stand in for the users' store of rows")
public final class RowsOptions {

    @Parameter(names = "--listen", required = true, description = "IP number and port to listen at")
    private String listen;

    @Parameter(names = "--manifest", required = true, description = "file with the manifest, in JSON")
    private String manifest;

    String listen() {
        return listen;
    }

    String manifest() {
        return manifest;
    }
}
