/** The smallest records: members, services, slices, addresses. */
package org.verbenamast.core.model;
