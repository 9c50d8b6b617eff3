/** Basic value types that all packages share: members, services, slices, addresses. */
package org.verbenamast.core.model;
