package org.verbenamast.http;

import java.time.Duration;

import io.activej.dns.IDnsClient;
import io.activej.dns.protocol.DnsQuery;
import io.activej.dns.protocol.DnsResponse;
import io.activej.eventloop.Eventloop;
import io.activej.http.HttpClient;
import io.activej.promise.Promise;
import io.activej.reactor.net.SocketSettings;

/** Makes HTTP clients that speak to IP numbers only. */
public final class HttpClients {

    private static final Duration CONNECT_TIMEOUT = Duration.ofMillis(500);
    private static final Duration KEEP_ALIVE = Duration.ofSeconds(30);

    private HttpClients() {}

    /**
     * Makes a client.
     *
     * @param eventloop the one event loop of the process
     * @param maxBodyBytes the longest body that is read, in bytes
     * @return the client
     */
    public static HttpClient create(Eventloop eventloop, int maxBodyBytes) {
        return HttpClient.builder(eventloop, new IpNumbers())
                .withConnectTimeout(CONNECT_TIMEOUT)
                .withKeepAliveTimeout(KEEP_ALIVE)
                .withMaxBodySize(maxBodyBytes)
                .withSocketSettings(
                        SocketSettings.builder().withTcpNoDelay(true).build())
                .build();
    }

    private static final class IpNumbers implements IDnsClient {

        @Override
        public Promise<DnsResponse> resolve(DnsQuery query) {
            DnsResponse number = IDnsClient.resolveFromQuery(query);
            return number != null
                    ? Promise.of(number)
                    : Promise.ofException(new UnsupportedOperationException("only IP numbers are used"));
        }

        @Override
        public void close() {
            // Nothing is held.
        }
    }
}
