package org.verbenamast.it.deploy;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/** Asks processes of a deployment over HTTP and waits for the answer. */
public final class Http {

    private static final HttpClient CLIENT = HttpClient.newBuilder()
            .version(HttpClient.Version.HTTP_1_1)
            .connectTimeout(Duration.ofSeconds(2))
            .build();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private Http() {}

    /**
     * Sends a request.
     *
     * @param request the request
     * @return the answer
     * @throws IOException where there is none
     */
    public static HttpResponse<byte[]> send(HttpRequest.Builder request) throws IOException {
        try {
            return CLIENT.send(request.timeout(TIMEOUT).build(), HttpResponse.BodyHandlers.ofByteArray());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /**
     * Makes a request.
     *
     * @param address where to ask
     * @param path the path
     * @return the request
     */
    public static HttpRequest.Builder to(String address, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address + path));
    }

    /**
     * Reads JSON.
     *
     * @param address where to ask
     * @param path the path
     * @return the answer
     * @throws IOException where there is none
     */
    public static JsonNode json(String address, String path) throws IOException {
        return MAPPER.readTree(send(to(address, path)).body());
    }

    /**
     * Posts JSON.
     *
     * @param address where to post
     * @param path the path
     * @param value what to post
     * @return the answer's status
     * @throws IOException where there is none
     */
    public static int post(String address, String path, Object value) throws IOException {
        HttpRequest.BodyPublisher body = HttpRequest.BodyPublishers.ofByteArray(MAPPER.writeValueAsBytes(value));
        return send(to(address, path).POST(body)).statusCode();
    }
}
