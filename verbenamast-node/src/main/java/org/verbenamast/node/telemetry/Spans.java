package org.verbenamast.node.telemetry;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;

import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.context.Context;
import io.opentelemetry.exporter.logging.otlp.OtlpJsonLoggingSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import io.opentelemetry.sdk.trace.samplers.Sampler;
import org.verbenamast.core.model.MemberId;
import org.verbenamast.core.model.RequestId;
import org.verbenamast.core.request.CallerRequest;
import org.verbenamast.core.request.RequestOutcome;

/** Records a span for each hop of a request that is traced, and carries the trace context from hop to hop. */
public final class Spans implements AutoCloseable {

    private final SdkTracerProvider provider;
    private final Tracer tracer;
    private final Map<Hop, Span> open = new HashMap<>();

    /**
     * Makes a recorder that writes finished spans to the log.
     *
     * @param self this member
     * @param ratio the share of requests that are traced without a caller's wish
     */
    public Spans(MemberId self, double ratio) {
        Objects.requireNonNull(self, "self");
        this.provider = SdkTracerProvider.builder()
                .setResource(Resource.builder()
                        .put("service.name", "verbenamast-node")
                        .put("service.instance.id", self.toString())
                        .build())
                .setSampler(Sampler.parentBased(Sampler.traceIdRatioBased(ratio)))
                .addSpanProcessor(SimpleSpanProcessor.create(OtlpJsonLoggingSpanExporter.create()))
                .build();
        this.tracer = provider.get("verbenamast");
    }

    /**
     * Begins the span of a request that came from a caller.
     *
     * @param id the request's identity
     * @param request the request
     * @return the request with the trace context for the next hop
     */
    public CallerRequest callerArrived(RequestId id, CallerRequest request) {
        return begin(id, HopKind.CALLER, request);
    }

    /**
     * Ends the span of a request that came from a caller.
     *
     * @param id the request's identity
     * @param outcome how the request ended
     */
    public void callerAnswered(RequestId id, RequestOutcome outcome) {
        end(id, HopKind.FORWARD, outcome);
        end(id, HopKind.CALLER, outcome);
    }

    /**
     * Begins the span of one hop.
     *
     * @param id the request's identity
     * @param kind the kind of hop
     * @param request the request with the trace context of the hop before
     * @return the request with the trace context for the next hop
     */
    public CallerRequest begin(RequestId id, HopKind kind, CallerRequest request) {
        Context parent = TraceParent.read(request.traceParent());
        Span span = tracer.spanBuilder(kind.spanName())
                .setParent(parent)
                .setSpanKind(kind.spanKind())
                .startSpan();
        if (!span.isRecording()) {
            return request.withTraceParent(TraceParent.write(span.getSpanContext()));
        }
        span.setAttribute("verbenamast.request_id", id.toString());
        span.setAttribute("verbenamast.service", request.service().value());
        Span before = open.put(new Hop(id, kind), span);
        if (before != null) {
            before.end();
        }
        return request.withTraceParent(TraceParent.write(span.getSpanContext()));
    }

    /**
     * Ends the span of one hop, if it is recorded.
     *
     * @param id the request's identity
     * @param kind the kind of hop
     * @param outcome how the hop ended
     */
    public void end(RequestId id, HopKind kind, RequestOutcome outcome) {
        Span span = open.remove(new Hop(id, kind));
        if (span == null) {
            return;
        }
        span.setAttribute("verbenamast.outcome", OutcomeLabel.of(outcome));
        if (!(outcome instanceof RequestOutcome.Answered)) {
            span.setStatus(StatusCode.ERROR, OutcomeLabel.of(outcome));
        }
        span.end();
    }

    @Override
    public void close() {
        provider.close();
    }

    private record Hop(RequestId id, HopKind kind) {}

    /** The hops of a request. */
    public enum HopKind {
        /** From the caller to the node. */
        CALLER("caller", SpanKind.SERVER),
        /** From the node to another node. */
        FORWARD("forward", SpanKind.CLIENT),
        /** At the node whose backend server is to run the request. */
        SERVE("serve", SpanKind.SERVER),
        /** From the node to its backend server. */
        BACKEND("backend", SpanKind.CLIENT);

        private final String spanName;
        private final SpanKind spanKind;

        HopKind(String spanName, SpanKind spanKind) {
            this.spanName = spanName;
            this.spanKind = spanKind;
        }

        String spanName() {
            return spanName;
        }

        SpanKind spanKind() {
            return spanKind;
        }
    }
}
