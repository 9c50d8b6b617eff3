package org.verbenamast.standins.proxy;

import java.util.ArrayList;
import java.util.List;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;

/** The options of the fault-injecting proxy. */
@Parameters(commandDescription = "a TCP proxy that cuts, delays and loses on demand")
public final class ProxyOptions {

    @Parameter(names = "--control", required = true, description = "where to take commands over HTTP, as IP:PORT")
    private String control;

    @Parameter(names = "--route", required = true, description = "a route, as NAME=LISTEN_IP:PORT=TARGET_IP:PORT")
    private List<String> routes = new ArrayList<>();

    String control() {
        return control;
    }

    List<String> routes() {
        return routes;
    }
}
