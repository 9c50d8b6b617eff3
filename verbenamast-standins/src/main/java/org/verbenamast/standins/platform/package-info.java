/** Stands in for the platform: a transactional table service and an object store. */
package org.verbenamast.standins.platform;
