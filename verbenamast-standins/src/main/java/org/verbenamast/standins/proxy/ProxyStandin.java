package org.verbenamast.standins.proxy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpMethod;
import io.activej.http.HttpRequest;
import io.activej.http.HttpResponse;
import io.activej.http.HttpServer;
import io.activej.http.RoutingServlet;
import io.activej.promise.Promise;
import org.verbenamast.standins.Addresses;

/** A TCP proxy that cuts, delays and loses on demand. */
public final class ProxyStandin {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final List<ProxyRoute> routes = new ArrayList<>();
    private final HttpServer control;

    /**
     * Makes a proxy that does not listen yet.
     *
     * @param eventloop the one event loop of the process
     * @param options the options
     */
    public ProxyStandin(Eventloop eventloop, ProxyOptions options) {
        options.routes().forEach(route -> routes.add(new ProxyRoute(eventloop, route)));
        RoutingServlet commands = RoutingServlet.builder(eventloop)
                .with(HttpMethod.POST, "/admin/faults", this::setFaults)
                .build();
        this.control = HttpServer.builder(eventloop, commands)
                .withListenAddress(Addresses.parse(options.control()))
                .build();
    }

    /**
     * Starts to listen on all routes.
     *
     * @throws IOException where an address can't be used
     */
    public void listen() throws IOException {
        for (ProxyRoute route : routes) {
            route.listen();
        }
        control.listen();
    }

    private Promise<HttpResponse> setFaults(HttpRequest request) {
        return request.loadBody().then(body -> {
            RouteFaults faults = MAPPER.readValue(body.getArray(), RouteFaults.class);
            routes.stream().filter(route -> route.name().equals(faults.route())).forEach(route -> route.set(faults));
            return HttpResponse.ok200().withJson("{}").toPromise();
        });
    }
}
