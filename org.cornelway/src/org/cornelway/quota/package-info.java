/** Keeps customers to their token quotas, over all entries together. */
package org.cornelway.quota;
