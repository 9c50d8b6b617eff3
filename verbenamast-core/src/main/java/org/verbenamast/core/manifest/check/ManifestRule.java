package org.verbenamast.core.manifest.check;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;

import org.verbenamast.core.manifest.CallerKeyDigest;
import org.verbenamast.core.manifest.Manifest;
import org.verbenamast.core.manifest.RequestLimits;
import org.verbenamast.core.manifest.Route;
import org.verbenamast.core.manifest.ServiceRules;
import org.verbenamast.core.manifest.Split;
import org.verbenamast.core.manifest.Tenant;

/** The rules that a manifest should keep to. */
public enum ManifestRule {
    /** No two entries of a kind have one name. */
    NAMES_DIFFER {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            reportRepeated("route", manifest.routes(), Route::name, findings);
            reportRepeated("service", manifest.services(), ServiceRules::name, findings);
            reportRepeated("tenant", manifest.tenants(), Tenant::name, findings);
        }
    },
    /** Every route can be selected by some request. */
    ROUTES_MATCH {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            Map<String, String> laterByMatch = new HashMap<>();
            for (int i = manifest.routes().size() - 1; i >= 0; i--) {
                Route route = manifest.routes().get(i);
                reportUnmatchable(route, findings);
                String later = laterByMatch.putIfAbsent(route.host() + route.prefix(), route.name());
                if (later != null) {
                    findings.accept(Finding.error(
                            place(route), "never matches: route %s has the same host and prefix".formatted(later)));
                }
            }
        }
    },
    /** Every route sends its requests to services that exist, in shares that are not all zero. */
    ROUTES_LEAD_SOMEWHERE {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            for (Route route : manifest.routes()) {
                for (Split split : route.splits()) {
                    if (manifest.service(split.service()).isEmpty()) {
                        findings.accept(Finding.error(
                                place(route), "names the service %s, which is not listed".formatted(split.service())));
                    }
                }
                if (route.splits().stream().allMatch(split -> split.weight() == 0)) {
                    findings.accept(Finding.error(place(route), "all weights of its split are 0"));
                }
            }
        }
    },
    /** Every service is used by a route. */
    SERVICES_ARE_USED {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            Set<String> used = new HashSet<>();
            manifest.routes().forEach(route -> route.splits().forEach(split -> {
                if (split.weight() > 0) {
                    used.add(split.service());
                }
            }));
            for (ServiceRules service : manifest.services()) {
                if (!used.contains(service.name())) {
                    findings.accept(Finding.warning("service " + service.name(), "no route sends requests to it"));
                }
            }
        }
    },
    /** The times of a route don't contradict each other. */
    TIMES_AGREE {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            for (Route route : manifest.routes()) {
                if (route.objectiveMillis() > route.timeoutMillis()) {
                    findings.accept(Finding.error(
                            place(route),
                            "its latency objective of %d ms is beyond its time-out of %d ms"
                                    .formatted(route.objectiveMillis(), route.timeoutMillis())));
                }
            }
            RequestLimits limits = manifest.limits();
            if (limits.headerTimeoutMillis() > limits.idleTimeoutMillis()) {
                findings.accept(Finding.warning(
                        LIMITS,
                        "a head may take %d ms, but an idle connection is closed after %d ms"
                                .formatted(limits.headerTimeoutMillis(), limits.idleTimeoutMillis())));
            }
        }
    },
    /** A head that callers may send fits into a frame between nodes. */
    HEADS_FIT {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            if (manifest.limits().maxHeaderBytes() > MAX_HEAD_BYTES) {
                findings.accept(Finding.error(
                        LIMITS,
                        "heads of %d bytes can't be passed on; %d is the most that can"
                                .formatted(manifest.limits().maxHeaderBytes(), MAX_HEAD_BYTES)));
            }
        }
    },
    /** Every key belongs to one tenant, and every tenant can be called. */
    KEYS_ARE_UNIQUE {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            Map<CallerKeyDigest, String> holders = new HashMap<>();
            for (Tenant tenant : manifest.tenants()) {
                if (tenant.keys().isEmpty()) {
                    findings.accept(Finding.warning(place(tenant), "has no key, so that it can't call"));
                }
                for (CallerKeyDigest key : tenant.keys()) {
                    String holder = holders.putIfAbsent(key, tenant.name());
                    if (holder != null) {
                        findings.accept(
                                Finding.error(place(tenant), "has a key that tenant %s has too".formatted(holder)));
                    }
                }
            }
        }
    },
    /** The cap of a tenant lets some requests through, and its burst belongs to a rate. */
    CAPS_AGREE {
        @Override
        void check(Manifest manifest, Consumer<Finding> findings) {
            for (Tenant tenant : manifest.tenants()) {
                if (!tenant.isLimited() && tenant.burst() > 0) {
                    findings.accept(Finding.warning(
                            place(tenant), "has a burst but no rate, so that its requests are not limited"));
                }
                if (tenant.isLimited() && tenant.ratePerSecond() < 1 && tenant.burst() < 1) {
                    findings.accept(Finding.warning(
                            place(tenant),
                            "a rate of %s a second without a burst lets hardly any request through"
                                    .formatted(tenant.ratePerSecond())));
                }
                if (tenant.isLimited() && tenant.burst() > tenant.ratePerSecond() * MAX_BURST_SECONDS) {
                    findings.accept(Finding.warning(
                            place(tenant),
                            "a burst of %s is more than its rate of %s a second grants in %d s"
                                    .formatted(tenant.burst(), tenant.ratePerSecond(), MAX_BURST_SECONDS)));
                }
            }
        }
    };

    /** Longest head in a frame between nodes, in bytes; a frame holds 256 KiB, its other fields included. */
    private static final long MAX_HEAD_BYTES = 192 * 1024;
    /** Length of a burst from which on the rate hardly limits anything, in seconds. */
    private static final long MAX_BURST_SECONDS = 60;

    private static final String LIMITS = "limits";

    /**
     * Checks a manifest.
     *
     * @param manifest the manifest
     * @param findings receives what breaks the rule
     */
    abstract void check(Manifest manifest, Consumer<Finding> findings);

    private static String place(Route route) {
        return "route " + route.name();
    }

    private static String place(Tenant tenant) {
        return "tenant " + tenant.name();
    }

    private static <T> void reportRepeated(
            String kind, List<T> entries, Function<T, String> name, Consumer<Finding> findings) {
        Set<String> names = new HashSet<>();
        for (T entry : entries) {
            if (!names.add(name.apply(entry))) {
                findings.accept(Finding.error(kind + " " + name.apply(entry), "is listed more than once"));
            }
        }
    }

    private static void reportUnmatchable(Route route, Consumer<Finding> findings) {
        String prefix = route.prefix();
        if (!prefix.startsWith("/") || !prefix.endsWith("/")) {
            findings.accept(Finding.error(
                    place(route), "never matches: its prefix %s should begin and end with a slash".formatted(prefix)));
        }
        if (prefix.indexOf('?') >= 0) {
            findings.accept(Finding.error(place(route), "never matches: its prefix %s has a query".formatted(prefix)));
        }
        if (route.host().indexOf(':') >= 0) {
            findings.accept(Finding.error(
                    place(route),
                    "never matches: its host %s has a port, which is left out of requests".formatted(route.host())));
        }
    }
}
