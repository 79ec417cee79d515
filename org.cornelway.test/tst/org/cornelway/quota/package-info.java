/** Tests of customers' quotas. */
package org.cornelway.quota;
